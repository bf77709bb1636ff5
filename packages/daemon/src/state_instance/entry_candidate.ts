import type {BootId, Heartbeat, InstanceId} from '@papayarun/protocol';

/**
 * Live entry instance that can be granted shards of its data centre.
 */
export interface EntryCandidate {
  readonly instanceId: InstanceId;
  readonly boot: BootId;
  readonly state: Heartbeat['state'];
  /**
   * Number of targets that it can schedule; undefined in versions that schedule
   * the first shard only.
   */
  readonly maxTargets: number | undefined;
}
