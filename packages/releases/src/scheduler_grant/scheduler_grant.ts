import type {BootId, InstanceId} from '@papayarun/protocol';

/**
 * Which incarnation of an instance schedules a data centre's targets.
 */
export interface SchedulerGrant {
  readonly instanceId: InstanceId;
  readonly boot: BootId;
  /** Fencing token; each grant has a higher one than all before it. */
  readonly token: number;
}
