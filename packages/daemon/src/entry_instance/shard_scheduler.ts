import type {DataCentreId, ShardId} from '@papayarun/protocol';
import type {SchedulerGrant} from '@papayarun/releases';

/**
 * A shard, its data centre, and the grant under which it is scheduled.
 */
export interface ShardScheduler {
  readonly shard: ShardId;
  readonly dataCentre: DataCentreId;
  readonly grant: SchedulerGrant;
}
