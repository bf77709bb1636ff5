import type {ControlCommand} from '../command/control_command.js';
import type {ControlState} from '../control_state/control_state.js';
import {applyConfiguration} from '../_lib/apply_configuration.js';
import {applyGrant} from '../_lib/apply_grant.js';
import {applyNote} from '../_lib/apply_note.js';
import {applyPreferences} from '../_lib/apply_preferences.js';
import {applyView} from '../_lib/apply_view.js';
import type {Applied} from './applied.js';

/**
 * State after a command of the replicated log.
 *
 * @description Depends on its arguments alone, so that every instance comes
 * to the same state.
 * @param state - State before.
 * @param command - The command.
 * @returns State after, and the command's result.
 * @throws Never.
 * @example
 * const {state, result} = applyCommand(EMPTY_CONTROL_STATE, command);
 */
export function applyCommand(
  state: ControlState,
  command: ControlCommand,
): Applied {
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
    default:
      return command satisfies never;
  }
}
