import type {BootId, InstanceId} from '@papayarun/protocol';
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
  /** Latest boot id received from an instance, alive or dead. */
  readonly lastBoot: (id: InstanceId) => BootId | undefined;
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
 * of the next view always holds the claims. If every member is known under a
 * new boot id, all claims are lost and the view is reset.
 * @param input - View, live instances and the state of this instance.
 * @returns The change to propose.
 * @throws Never.
 * @example
 * const change = planViewChange(input);
 */
export function planViewChange(input: ViewChangeInput): ViewChange {
  const {view, self} = input;
  const live = input.live.filter(m => !m.isDraining || isInView(view, m));
  const wantedMembers = sortMembers(input.isLeaving ? live : [self, ...live]);
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
  const latestIncarnations = view.members.map(member => ({
    instanceId: member.instanceId,
    boot:
      member.instanceId === self.instanceId
        ? self.boot
        : input.lastBoot(member.instanceId),
  }));
  const wasReplaced = (i: number): boolean =>
    latestIncarnations[i]!.boot !== undefined &&
    latestIncarnations[i]!.boot !== view.members[i]!.boot;
  // Indices of the members other than this incarnation.
  const others = view.members.flatMap((m, i) => (isSame(m, self) ? [] : [i]));
  if (!others.every(wasReplaced) || input.isLeaving) {
    return {kind: 'none'};
  }
  if (view.members.some(m => isSame(m, self))) {
    return {kind: 'renew'};
  }
  return {
    kind: 'reset',
    members: wantedMembers,
    replaced: latestIncarnations as ViewMember[],
  };
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
