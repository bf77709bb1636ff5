import type {InstanceId} from '@papayarun/protocol';

/**
 * Capacity and load of one instance for a service, as input to chooseKeeper.
 */
export interface KeeperCandidate {
  readonly instanceId: InstanceId;
  readonly slots: number;
  /** Free slots in the last digest, minus the work sent there since then. */
  readonly free: number;
  /**
   * Work of the same kind that waits or runs there according to the last
   * digest, plus the work sent there since then.
   */
  readonly workOfKind: number;
}
