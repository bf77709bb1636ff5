import type {AppliedCommand} from '../apply_command/applied_command.js';
import type {ControlCommand} from '../command/control_command.js';
import type {ControlState} from '../control_state/control_state.js';
import type {ReleaseEntry} from '../control_state/release_entry.js';

/**
 * Stores the choices of a customer for the behaviours in force.
 *
 * @param state - State before the command.
 * @param command - Customer and choices.
 * @returns State after the command, and the chosen names that are not in force.
 */
export function applyPreferences(
  state: ControlState,
  command: Extract<ControlCommand, {kind: 'setPreferences'}>,
): AppliedCommand {
  const {customer, choices} = command;
  const customerChoices: Record<string, ReleaseEntry> = {
    ...state.customers[customer],
  };
  const unknownNames: string[] = [];
  for (const [name, value] of Object.entries(choices)) {
    const entry = Object.hasOwn(state.entries, name)
      ? state.entries[name]
      : undefined;
    if (!entry) {
      unknownNames.push(name);
    } else if (value === null) {
      delete customerChoices[name];
    } else {
      customerChoices[name] = {value, since: entry.since};
    }
  }
  const customers = {...state.customers, [customer]: customerChoices};
  return {
    state: {...state, customers},
    result: {kind: 'preferences', unknown: unknownNames},
  };
}
