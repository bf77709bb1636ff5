import type {AppliedCommand} from '../apply_command/applied_command.js';
import type {ClaimView} from '../claim_view/claim_view.js';
import type {ViewMember} from '../claim_view/view_member.js';
import type {ControlCommand} from '../command/control_command.js';
import type {ControlState} from '../control_state/control_state.js';

type SetView = Extract<ControlCommand, {kind: 'setView'}>;

/**
 * Changes the claim view of a data centre.
 *
 * @description The next view must share an incarnation with the current one,
 * so that the claims are kept. Otherwise the change is a reset, which is allowed
 * only if every current member is known under a new boot id or an operator
 * requested it.
 * @param state - State before the command.
 * @param command - Wanted members, and the epoch in which they were chosen.
 * @returns State after the command, and whether the change was accepted.
 */
export function applyView(
  state: ControlState,
  command: SetView,
): AppliedCommand {
  const current = state.views[command.dataCentre];
  const rejected: AppliedCommand = {
    state,
    result: {kind: 'view', accepted: false, view: current},
  };
  if (
    command.fromEpoch !== (current?.epoch ?? 0) ||
    command.members.length === 0
  ) {
    return rejected;
  }
  const keepsClaims =
    current !== undefined &&
    current.members.some(m => includesMember(command.members, m));
  if (current && !keepsClaims && !isResetAllowed(current, command)) {
    return rejected;
  }
  const epoch = command.fromEpoch + 1;
  const view: ClaimView = {
    dataCentre: command.dataCentre,
    epoch,
    generation: (current?.generation ?? 0) + (keepsClaims ? 0 : 1),
    openedAtEpoch: keepsClaims ? current.openedAtEpoch : epoch,
    members: command.members.map(m => ({
      ...m,
      since: joinEpochOf(current, m) ?? epoch,
    })),
  };
  const views = {...state.views, [command.dataCentre]: view};
  return {
    state: {...state, views},
    result: {kind: 'view', accepted: true, view},
  };
}

function isResetAllowed(current: ClaimView, command: SetView): boolean {
  if (!command.reset) {
    return false;
  }
  const {replaced, byOperator} = command.reset;
  const wasReplaced = (member: ViewMember): boolean =>
    replaced.some(
      r => r.instanceId === member.instanceId && r.boot !== member.boot,
    );
  return byOperator || current.members.every(wasReplaced);
}

/** Epoch at which a member joined, or undefined if it is not in the view. */
function joinEpochOf(
  current: ClaimView | undefined,
  member: ViewMember,
): number | undefined {
  return current?.members.find(
    m => m.instanceId === member.instanceId && m.boot === member.boot,
  )?.since;
}

function includesMember(
  members: readonly ViewMember[],
  wanted: ViewMember,
): boolean {
  return members.some(
    m => m.instanceId === wanted.instanceId && m.boot === wanted.boot,
  );
}
