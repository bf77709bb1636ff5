import type {InstanceId} from '@papayarun/protocol';
import type {SchedulerGrant} from '@papayarun/releases';

/**
 * What the leader knows of entry instances beyond their heartbeats.
 */
export interface GrantConditions {
  /**
   * Whether holders that aren't among the candidates are dead rather than not
   * heard from yet.
   */
  readonly mayReplaceSilent: boolean;
  /** Whether the process of a holder is known to have ended since its grant. */
  readonly hasEnded: (grant: SchedulerGrant) => boolean;
  /** Whether there is a link to an instance. */
  readonly isLinked: (instance: InstanceId) => boolean;
}
