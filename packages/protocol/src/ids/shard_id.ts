import type {Brand} from '../brand/brand.js';

/**
 * Name of a shard of a data centre's targets, each with a scheduler of its own.
 *
 * @description The first shard bears the name of the data centre, as the whole
 * data centre did in versions without shards.
 */
export type ShardId = Brand<string, 'ShardId'>;
