import type {ControlCommand} from '../command/control_command.js';
import type {ControlState} from '../control_state/control_state.js';
import {applyConfiguration} from '../_lib/apply_configuration.js';
import {applyEvacuation} from '../_lib/apply_evacuation.js';
import {applyGrant} from '../_lib/apply_grant.js';
import {applyNote} from '../_lib/apply_note.js';
import {applyPreferences} from '../_lib/apply_preferences.js';
import {applyTargetAssignment} from '../_lib/apply_target_assignment.js';
import {applyTargetRemoval} from '../_lib/apply_target_removal.js';
import {applyView} from '../_lib/apply_view.js';
import type {AppliedCommand} from './applied_command.js';

/**
 * Applies a command of the replicated log to the control state.
 *
 * @description The result depends on the arguments alone, so that all instances
 * reach the same state.
 * @param state - State before the command.
 * @param command - The command.
 * @returns State after the command, and the command's result.
 * @throws Never.
 * @example
 * const {state, result} = applyCommand(EMPTY_CONTROL_STATE, command);
 */
export function applyCommand(
  state: ControlState,
  command: ControlCommand,
): AppliedCommand {
  switch (command.kind) {
    case 'applyNote':
      return applyNote(state, command);
    case 'setView':
      return applyView(state, command);
    case 'setPreferences':
      return applyPreferences(state, command);
    case 'applyConfiguration':
      return applyConfiguration(state, command);
    case 'grantScheduler':
      return applyGrant(state, command);
    case 'assignTargets':
      return applyTargetAssignment(state, command);
    case 'removeTargets':
      return applyTargetRemoval(state, command);
    case 'setEvacuation':
      return applyEvacuation(state, command);
    default:
      return command satisfies never;
  }
}
