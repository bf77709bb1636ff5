import type {ShardId} from '@papayarun/protocol';
import {dataCentreOfShard} from '@papayarun/protocol';
import type {ControlState} from '../control_state/control_state.js';
import {isEvacuated} from '../is_evacuated/is_evacuated.js';

/**
 * Shards of the data centres that are not evacuated.
 *
 * @param state - Control state.
 * @returns The shards that were granted to a scheduler, in no fixed order.
 * @throws Never.
 * @example
 * shardsInService(store.state).length;
 */
export function shardsInService(
  state: Pick<ControlState, 'schedulers' | 'evacuations'>,
): ShardId[] {
  const shards = Object.keys(state.schedulers) as ShardId[];
  if (Object.keys(state.evacuations).length === 0) {
    return shards;
  }
  return shards.filter(shard => !isEvacuated(state, dataCentreOfShard(shard)));
}
