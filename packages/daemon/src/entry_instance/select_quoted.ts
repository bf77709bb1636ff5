import type {DataCentreId} from '@papayarun/protocol';
import type {ShardScheduler} from './shard_scheduler.js';

/** Most other shards of the data centre of the first scheduler that are asked. */
const MAX_LOCAL_QUOTES = 2;
/** Most shards that are asked; in other data centres, one in each. */
const MAX_QUOTES = 3;

/**
 * Selects the schedulers that are asked for a quote after a first one did not
 * take a job at once.
 *
 * @description Asking a few random ones finds nearly as short a queue as asking
 * all (Mitzenmacher, 2001), at a cost that doesn't grow with their number.
 * @param reachable - Reachable schedulers; those of a data centre in random
 *   order.
 * @param first - The scheduler that was asked first, if any.
 * @returns The schedulers to ask, the nearest first.
 * @throws Never.
 * @example
 * selectQuoted(finder.reachable(), first);
 */
export function selectQuoted(
  reachable: readonly ShardScheduler[],
  first: ShardScheduler | undefined,
): ShardScheduler[] {
  const others = reachable.filter(({shard}) => shard !== first?.shard);
  const local = others.filter(
    ({dataCentre}) => dataCentre === first?.dataCentre,
  );
  const remote = new Map<DataCentreId, ShardScheduler>();
  for (const scheduler of others) {
    const {dataCentre} = scheduler;
    if (dataCentre !== first?.dataCentre && !remote.has(dataCentre)) {
      remote.set(dataCentre, scheduler);
    }
  }
  return [...local.slice(0, MAX_LOCAL_QUOTES), ...remote.values()].slice(
    0,
    MAX_QUOTES,
  );
}
