import type {AppliedCommand} from '../apply_command/applied_command.js';
import type {ControlCommand} from '../command/control_command.js';
import type {ControlState} from '../control_state/control_state.js';
import type {Evacuation} from '../evacuation/evacuation.js';

/** State of a data centre on which there was no order. */
const IN_SERVICE: Evacuation = {serial: 0, isEvacuated: false, atMs: 0};

/**
 * Orders the evacuation of a data centre, or withdraws the order.
 *
 * @description The order that an operator sends has no version of its own. A command
 * that was held up on its way to the leader is recognized by the serial number that
 * its proposer knew. Each order takes a number, also one for the state that is in
 * force: the command that it may have overtaken must not be applied later.
 * @param state - State before the command.
 * @param command - Data centre, wanted state, and the serial number it replaces.
 * @returns State after the command, and the serial number in force.
 */
export function applyEvacuation(
  state: ControlState,
  command: Extract<ControlCommand, {kind: 'setEvacuation'}>,
): AppliedCommand {
  const {dataCentre, isEvacuated, fromSerial, atMs} = command;
  const current = state.evacuations[dataCentre] ?? IN_SERVICE;
  const isUnchanged = current.isEvacuated === isEvacuated;
  if (current.serial !== fromSerial) {
    const {serial} = current;
    return {
      state,
      result: {kind: 'evacuation', accepted: isUnchanged, serial},
    };
  }
  const serial = current.serial + 1;
  const evacuation = {
    serial,
    isEvacuated,
    atMs: isUnchanged ? current.atMs : atMs,
  };
  const evacuations = {...state.evacuations, [dataCentre]: evacuation};
  return {
    state: {...state, evacuations},
    result: {kind: 'evacuation', accepted: true, serial},
  };
}
