import type {AppliedCommand} from '../apply_command/applied_command.js';
import type {ControlCommand} from '../command/control_command.js';
import type {ControlState} from '../control_state/control_state.js';

/**
 * Orders the evacuation of a data centre, or withdraws the order.
 *
 * @description The order that an operator sends has no version of its own. A command
 * that was held up on its way to the leader is recognized by the serial number that
 * its proposer knew: it is rejected if the order has changed since.
 * @param state - State before the command.
 * @param command - Data centre, wanted state, and the serial number it replaces.
 * @returns State after the command, and the order in force.
 */
export function applyEvacuation(
  state: ControlState,
  command: Extract<ControlCommand, {kind: 'setEvacuation'}>,
): AppliedCommand {
  const {dataCentre, isEvacuated, fromSerial, atMs} = command;
  const current = state.evacuations[dataCentre];
  const currentSerial = current?.serial ?? 0;
  if ((current?.isEvacuated ?? false) === isEvacuated) {
    return {
      state,
      result: {kind: 'evacuation', accepted: true, serial: currentSerial},
    };
  }
  if (currentSerial !== fromSerial) {
    return {
      state,
      result: {kind: 'evacuation', accepted: false, serial: currentSerial},
    };
  }
  const serial = currentSerial + 1;
  const evacuation = {serial, isEvacuated, atMs};
  const evacuations = {...state.evacuations, [dataCentre]: evacuation};
  return {
    state: {...state, evacuations},
    result: {kind: 'evacuation', accepted: true, serial},
  };
}
