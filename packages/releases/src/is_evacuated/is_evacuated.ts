import type {DataCentreId} from '@papayarun/protocol';
import type {ControlState} from '../control_state/control_state.js';

/**
 * Whether an order to evacuate a data centre is in force.
 *
 * @param state - Control state.
 * @param dataCentre - The data centre.
 * @returns False also if there was never an order.
 * @throws Never.
 * @example
 * isEvacuated(store.state, 'centro' as DataCentreId);
 */
export function isEvacuated(
  state: Pick<ControlState, 'evacuations'>,
  dataCentre: DataCentreId,
): boolean {
  return state.evacuations[dataCentre]?.isEvacuated ?? false;
}
