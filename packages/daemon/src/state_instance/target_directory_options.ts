import type {
  Clock,
  DataCentreId,
  EventLog,
  InstanceId,
  PeerNetwork,
  ShardId,
  TargetId,
} from '@papayarun/protocol';

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
  /** Instance that holds the grant of a shard, if any. */
  readonly schedulerOf: (shard: ShardId) => InstanceId | undefined;
}
