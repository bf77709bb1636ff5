import type {ClaimView, ViewMember} from '@papayarun/releases';
import type {CandidateMember} from './candidate_member.js';

/**
 * Input for the choice of the next claim view.
 */
export interface ViewChangeInput {
  readonly view: ClaimView | undefined;
  readonly self: ViewMember;
  /** Whether this instance holds every claim of the view. */
  readonly isSynced: boolean;
  /** Whether this instance is shutting down and leaves the view. */
  readonly isLeaving: boolean;
  /** Live instances of the data centre other than this one. */
  readonly live: readonly CandidateMember[];
  /** Later incarnation of a member's instance, alive or dead, if one is known. */
  readonly laterIncarnation: (member: ViewMember) => ViewMember | undefined;
  /** Whether a member that was not heard yet may be alive. */
  readonly isAwaited: (member: ViewMember) => boolean;
}

/**
 * A change of the claim view.
 *
 * @description
 * - `none`: nothing to change.
 * - `members`: propose these members; the claims are kept.
 * - `reset`: propose a new generation without claims, since all are lost.
 * - `renew`: start a new incarnation of this instance. It is a member that is
 *   not synced, the claims of all other members are lost, and only a new
 *   incarnation of this instance can be part of a reset.
 */
export type ViewChange =
  | {readonly kind: 'none'}
  | {readonly kind: 'members'; readonly members: readonly ViewMember[]}
  | {
      readonly kind: 'reset';
      readonly members: readonly ViewMember[];
      readonly replaced: readonly ViewMember[];
    }
  | {readonly kind: 'renew'};

/**
 * Chooses the next change of a claim view.
 *
 * @description Only a synced member adds or removes members, so that a member
 * of the next view always holds the claims. It keeps members that it has not
 * heard yet, since the link to them may be missing after a restart. If a later
 * incarnation of every member is known, all claims are lost and the view is reset.
 * @param input - View, live instances and the state of this instance.
 * @returns The change to propose.
 * @throws Never.
 * @example
 * const change = planViewChange(input);
 */
export function planViewChange(input: ViewChangeInput): ViewChange {
  const {view, self} = input;
  const awaited = (view?.members ?? []).filter(
    m => m.instanceId !== self.instanceId && input.isAwaited(m),
  );
  const awaitedIds = new Set(awaited.map(m => m.instanceId));
  // An incarnation beside an awaited one may be an earlier one.
  const live = input.live.filter(
    m => !awaitedIds.has(m.instanceId) && (!m.isDraining || isInView(view, m)),
  );
  const others = [...live, ...awaited];
  const wantedMembers = sortMembers(
    input.isLeaving ? others : [self, ...others],
  );
  if (wantedMembers.length === 0) {
    return {kind: 'none'};
  }
  if (!view) {
    return {kind: 'members', members: wantedMembers};
  }
  if (input.isSynced) {
    return haveSameMembers(view.members, wantedMembers)
      ? {kind: 'none'}
      : {kind: 'members', members: wantedMembers};
  }
  const replaced = view.members.flatMap(
    m =>
      (m.instanceId === self.instanceId ? self : input.laterIncarnation(m)) ??
      [],
  );
  if (replaced.length < view.members.length || input.isLeaving) {
    return {kind: 'none'};
  }
  if (view.members.some(m => isSame(m, self))) {
    return {kind: 'renew'};
  }
  return {kind: 'reset', members: wantedMembers, replaced};
}

function isInView(view: ClaimView | undefined, member: ViewMember): boolean {
  return view?.members.some(m => isSame(m, member)) ?? false;
}

/** Whether two members are the same incarnation of the same instance. */
function isSame(a: ViewMember, b: ViewMember): boolean {
  return a.instanceId === b.instanceId && a.boot === b.boot;
}

function sortMembers(members: readonly ViewMember[]): ViewMember[] {
  return members
    .map(({instanceId, boot}) => ({instanceId, boot}))
    .sort((a, b) => (a.instanceId < b.instanceId ? -1 : 1));
}

function haveSameMembers(
  a: readonly ViewMember[],
  b: readonly ViewMember[],
): boolean {
  const key = (m: ViewMember): string => `${m.instanceId}/${m.boot}`;
  const keys = new Set(a.map(key));
  return a.length === b.length && b.every(m => keys.has(key(m)));
}
