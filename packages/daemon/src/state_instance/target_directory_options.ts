import type {
  Clock,
  DataCentreId,
  EventLog,
  PeerNetwork,
  ShardId,
  TargetId,
} from '@papayarun/protocol';
import type {SchedulerGrant} from '@papayarun/releases';

/**
 * Options of a target directory.
 */
export interface TargetDirectoryOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Shard of a target, or undefined until the log has assigned one. */
  readonly shardOf: (
    targetId: TargetId,
    dataCentre: DataCentreId,
  ) => ShardId | undefined;
  /** Grant in force of a shard, if any. */
  readonly grantOf: (
    shard: ShardId,
  ) => Pick<SchedulerGrant, 'instanceId' | 'token'> | undefined;
}
