import type {AppliedCommand} from '../apply_command/applied_command.js';
import type {ControlCommand} from '../command/control_command.js';
import type {ControlState} from '../control_state/control_state.js';

/**
 * Puts a whole configuration in force if its revision is higher than the
 * revision in force.
 *
 * @param state - State before the command.
 * @param command - The configuration.
 * @returns State after the command, and the revision in force.
 */
export function applyConfiguration(
  state: ControlState,
  command: Extract<ControlCommand, {kind: 'applyConfiguration'}>,
): AppliedCommand {
  const {revision, content} = command;
  const currentRevision = state.configuration?.revision ?? -Infinity;
  if (revision <= currentRevision) {
    return {
      state,
      result: {
        kind: 'configuration',
        changed: false,
        revision: currentRevision,
      },
    };
  }
  return {
    state: {...state, configuration: {revision, content}},
    result: {kind: 'configuration', changed: true, revision},
  };
}
