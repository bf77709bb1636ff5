import type {EntryCandidate} from './entry_candidate.js';

/**
 * Number of targets above which a data centre gets another shard.
 *
 * @description A scheduler handles all orders and answers of its shard in one
 * event loop and over one link, so a shard is as large as the smallest entry
 * instance can schedule. Shards are no longer limited when there is none left
 * that could take another one.
 * @param candidates - Live entry instances of the data centre.
 * @param shardCount - Number of its shards.
 * @returns The number of targets; Infinity if no shard can be added.
 * @throws Never.
 * @example
 * targetsPerShard([{...entry, maxTargets: 13}], 0); // 13
 */
export function targetsPerShard(
  candidates: readonly EntryCandidate[],
  shardCount: number,
): number {
  const limits = candidates
    .filter(({state}) => state === 'ready')
    .flatMap(({maxTargets}) => (maxTargets === undefined ? [] : [maxTargets]));
  return shardCount >= limits.length ? Infinity : Math.min(...limits);
}
