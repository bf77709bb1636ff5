import type {BootId, InstanceId} from '@papayarun/protocol';
import type {ClaimView, ViewMember} from '@papayarun/releases';
import type {LiveMember} from './live_member.js';

/**
 * What the choice of the next view depends on.
 */
export interface NextViewInput {
  readonly view: ClaimView | undefined;
  readonly self: ViewMember;
  /** Whether this instance holds every claim of the view. */
  readonly isSynced: boolean;
  /** Whether this instance is about to end and gives up its seat. */
  readonly isLeaving: boolean;
  /** Live instances of the data centre, without this one. */
  readonly live: readonly LiveMember[];
  /** Latest boot id seen of any instance, dead ones too. */
  readonly lastBoot: (id: InstanceId) => BootId | undefined;
}

/**
 * A change of the claim view that should be proposed.
 */
export type NextView =
  | {readonly kind: 'none'}
  | {readonly kind: 'members'; readonly members: readonly ViewMember[]}
  | {
      readonly kind: 'reset';
      readonly members: readonly ViewMember[];
      readonly replaced: readonly ViewMember[];
    }
  /** Stuck without claims: only a new incarnation can be part of a reset. */
  | {readonly kind: 'renew'};

/**
 * Chooses the next members of a claim view.
 *
 * @description Only a synced member removes or adds others, so the claims
 * always live on in the next view. When every old member is known under a new
 * boot id, their claims are gone and the view is reset.
 * @param input - View, liveness and this instance's part in it.
 * @returns The change to propose.
 * @throws Never.
 * @example
 * const next = nextViewMembers(input);
 */
export function nextViewMembers(input: NextViewInput): NextView {
  const {view, self} = input;
  const live = input.live.filter(m => !m.isDraining || isSeated(view, m));
  const present = sortMembers(input.isLeaving ? live : [self, ...live]);
  if (present.length === 0) {
    return {kind: 'none'};
  }
  if (!view) {
    return {kind: 'members', members: present};
  }
  if (input.isSynced) {
    return sameMembers(view.members, present)
      ? {kind: 'none'}
      : {kind: 'members', members: present};
  }
  const replaced = view.members.map(member => ({
    instanceId: member.instanceId,
    boot:
      member.instanceId === self.instanceId
        ? self.boot
        : input.lastBoot(member.instanceId),
  }));
  const isGone = (i: number): boolean =>
    replaced[i]!.boot !== undefined &&
    replaced[i]!.boot !== view.members[i]!.boot;
  const others = view.members.flatMap((m, i) => (isSelf(m, self) ? [] : [i]));
  if (!others.every(isGone) || input.isLeaving) {
    return {kind: 'none'};
  }
  if (view.members.some(m => isSelf(m, self))) {
    return {kind: 'renew'};
  }
  return {kind: 'reset', members: present, replaced: replaced as ViewMember[]};
}

function isSeated(view: ClaimView | undefined, member: ViewMember): boolean {
  return view?.members.some(seated => isSelf(seated, member)) ?? false;
}

function isSelf(member: ViewMember, self: ViewMember): boolean {
  return member.instanceId === self.instanceId && member.boot === self.boot;
}

function sortMembers(members: readonly ViewMember[]): ViewMember[] {
  return members
    .map(({instanceId, boot}) => ({instanceId, boot}))
    .sort((a, b) => (a.instanceId < b.instanceId ? -1 : 1));
}

function sameMembers(
  a: readonly ViewMember[],
  b: readonly ViewMember[],
): boolean {
  const key = (m: ViewMember): string => `${m.instanceId}/${m.boot}`;
  const keys = new Set(a.map(key));
  return a.length === b.length && b.every(m => keys.has(key(m)));
}
