import type {Applied} from '../apply_command/applied.js';
import type {ClaimView} from '../claim_view/claim_view.js';
import type {ViewMember} from '../claim_view/view_member.js';
import type {ControlCommand} from '../command/control_command.js';
import type {ControlState} from '../control_state/control_state.js';

type SetView = Extract<ControlCommand, {kind: 'setView'}>;

/**
 * Changes a data centre's claim view.
 *
 * @description The next view must share an incarnation with the present one,
 * so that the claims live on. Otherwise it is a reset: allowed only when every
 * present member is known under a new boot id, or an operator says so.
 * @param state - State before.
 * @param command - Members wanted, and the epoch they were chosen in.
 * @returns State after, and whether the change was accepted.
 */
export function applyView(state: ControlState, command: SetView): Applied {
  const current = state.views[command.dataCentre];
  const refused: Applied = {
    state,
    result: {kind: 'view', accepted: false, view: current},
  };
  if (
    command.fromEpoch !== (current?.epoch ?? 0) ||
    command.members.length === 0
  ) {
    return refused;
  }
  const keepsClaims =
    current !== undefined && current.members.some(m => has(command.members, m));
  if (current && !keepsClaims && !isLost(current, command)) {
    return refused;
  }
  const epoch = command.fromEpoch + 1;
  const view: ClaimView = {
    dataCentre: command.dataCentre,
    epoch,
    generation: (current?.generation ?? 0) + (keepsClaims ? 0 : 1),
    openedAtEpoch: keepsClaims ? current.openedAtEpoch : epoch,
    members: command.members.map(m => ({
      ...m,
      since: seatOf(current, m) ?? epoch,
    })),
  };
  const views = {...state.views, [command.dataCentre]: view};
  return {
    state: {...state, views},
    result: {kind: 'view', accepted: true, view},
  };
}

function isLost(current: ClaimView, command: SetView): boolean {
  if (!command.reset) {
    return false;
  }
  const {replaced, byOperator} = command.reset;
  const isGone = (member: ViewMember): boolean =>
    replaced.some(
      r => r.instanceId === member.instanceId && r.boot !== member.boot,
    );
  return byOperator || current.members.every(isGone);
}

/** Epoch at which a present member joined. */
function seatOf(
  current: ClaimView | undefined,
  member: ViewMember,
): number | undefined {
  return current?.members.find(
    m => m.instanceId === member.instanceId && m.boot === member.boot,
  )?.since;
}

function has(members: readonly ViewMember[], wanted: ViewMember): boolean {
  return members.some(
    m => m.instanceId === wanted.instanceId && m.boot === wanted.boot,
  );
}
