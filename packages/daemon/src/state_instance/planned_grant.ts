import type {BootId, InstanceId, ShardId} from '@papayarun/protocol';

/**
 * Grant that the leader is to propose to the log.
 */
export interface PlannedGrant {
  readonly shard: ShardId;
  /** Token of the grant that this one replaces; 0 for none. */
  readonly fromToken: number;
  readonly instanceId: InstanceId;
  readonly boot: BootId;
}
