import type {ControlResult} from '../command/control_result.js';
import type {ControlState} from '../control_state/control_state.js';

/**
 * State and result after a command.
 */
export interface Applied {
  readonly state: ControlState;
  readonly result: ControlResult;
}
