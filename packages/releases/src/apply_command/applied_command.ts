import type {ControlResult} from '../command/control_result.js';
import type {ControlState} from '../control_state/control_state.js';

/**
 * State after a command of the replicated log, and the command's result.
 */
export interface AppliedCommand {
  readonly state: ControlState;
  readonly result: ControlResult;
}
