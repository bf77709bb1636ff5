import type {Applied} from '../apply_command/applied.js';
import type {ControlCommand} from '../command/control_command.js';
import type {ControlState} from '../control_state/control_state.js';

/**
 * Puts a whole configuration in force, unless one as high is.
 *
 * @param state - State before.
 * @param command - The configuration.
 * @returns State after, and the revision in force.
 */
export function applyConfiguration(
  state: ControlState,
  command: Extract<ControlCommand, {kind: 'applyConfiguration'}>,
): Applied {
  const {revision, content} = command;
  const held = state.configuration?.revision ?? -Infinity;
  if (revision <= held) {
    return {
      state,
      result: {kind: 'configuration', changed: false, revision: held},
    };
  }
  return {
    state: {...state, configuration: {revision, content}},
    result: {kind: 'configuration', changed: true, revision},
  };
}
