import type {Applied} from '../apply_command/applied.js';
import type {ControlCommand} from '../command/control_command.js';
import type {ControlState} from '../control_state/control_state.js';
import type {ReleaseEntry} from '../control_state/release_entry.js';

/**
 * Records a customer's choices among the behaviours in force.
 *
 * @param state - State before.
 * @param command - Customer and choices.
 * @returns State after, and the names that are not in force.
 */
export function applyPreferences(
  state: ControlState,
  command: Extract<ControlCommand, {kind: 'setPreferences'}>,
): Applied {
  const {customer, choices} = command;
  const kept: Record<string, ReleaseEntry> = {...state.customers[customer]};
  const unknown: string[] = [];
  for (const [name, value] of Object.entries(choices)) {
    const entry = Object.hasOwn(state.entries, name)
      ? state.entries[name]
      : undefined;
    if (!entry) {
      unknown.push(name);
    } else if (value === null) {
      delete kept[name];
    } else {
      kept[name] = {value, since: entry.since};
    }
  }
  const customers = {...state.customers, [customer]: kept};
  return {state: {...state, customers}, result: {kind: 'preferences', unknown}};
}
