import type {DataCentreId} from '../ids/data_centre_id.js';
import type {ShardId} from '../ids/shard_id.js';
import {SHARD_SEPARATOR} from './shard_separator.js';

/**
 * Names a shard of a data centre's targets.
 *
 * @param dataCentre - The data centre.
 * @param index - Index of the shard, from 0.
 * @returns The id; that of the first shard is the name of the data centre.
 * @throws Never.
 * @example
 * shardIdOf('centro' as DataCentreId, 2); // 'centro#2'
 */
export function shardIdOf(dataCentre: DataCentreId, index: number): ShardId {
  const id =
    index === 0 ? dataCentre : `${dataCentre}${SHARD_SEPARATOR}${index}`;
  return id as string as ShardId;
}
