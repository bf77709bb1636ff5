import type {BootId, InstanceId} from '@papayarun/protocol';

/**
 * Incarnation of an instance that schedules the targets of a shard.
 */
export interface SchedulerGrant {
  readonly instanceId: InstanceId;
  readonly boot: BootId;
  /** Fencing token; higher than the tokens of all earlier grants. */
  readonly token: number;
}
