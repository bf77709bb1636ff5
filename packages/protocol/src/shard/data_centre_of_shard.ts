import type {DataCentreId} from '../ids/data_centre_id.js';
import type {ShardId} from '../ids/shard_id.js';
import {SHARD_SEPARATOR} from './shard_separator.js';

/**
 * Data centre whose targets a shard contains.
 *
 * @param shard - The shard.
 * @returns The data centre.
 * @throws Never.
 * @example
 * dataCentreOfShard('centro#2' as ShardId); // 'centro'
 */
export function dataCentreOfShard(shard: ShardId): DataCentreId {
  return shard.split(SHARD_SEPARATOR, 1)[0] as DataCentreId;
}
