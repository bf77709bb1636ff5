import type {BootId, DataCentreId, InstanceId} from '@papayarun/protocol';
import type {ClaimView, ViewMember} from '@papayarun/releases';
import {describe, expect, it} from 'vitest';
import type {ViewChangeInput} from './plan_view_change.js';
import {planViewChange} from './plan_view_change.js';

function memberOf(instanceId: string, boot = 'first'): ViewMember {
  return {instanceId: instanceId as InstanceId, boot: boot as BootId};
}

const A = memberOf('a');
const B = memberOf('b');
const C = memberOf('c');
const LATER_A = memberOf('a', 'second');
const LATER_B = memberOf('b', 'second');

function viewOf(...members: ViewMember[]): ClaimView {
  return {
    dataCentre: 'centro' as DataCentreId,
    epoch: 7,
    generation: 1,
    openedAtEpoch: 1,
    members: members.map(m => ({...m, since: 1})),
  };
}

/** Input of `a`, a synced member, which hears nobody and awaits nobody. */
function inputOf(changes: Partial<ViewChangeInput> = {}): ViewChangeInput {
  return {
    view: viewOf(A, B, C),
    self: A,
    isSynced: true,
    isLeaving: false,
    live: [],
    laterIncarnation: () => undefined,
    isAwaited: () => false,
    ...changes,
  };
}

function isOneOf(...members: ViewMember[]): (m: ViewMember) => boolean {
  return m => members.some(o => o.instanceId === m.instanceId);
}

describe('planViewChange', () => {
  it('removes a member that was heard and is dead', () => {
    const live = [{...C, isDraining: false}];
    expect(planViewChange(inputOf({live}))).toEqual({
      kind: 'members',
      members: [A, C],
    });
  });

  // A restarted member removed one whose link was not up yet.
  it('keeps a member that was not heard yet', () => {
    const live = [{...C, isDraining: false}];
    const isAwaited = isOneOf(B);
    expect(planViewChange(inputOf({live, isAwaited}))).toEqual({kind: 'none'});
  });

  // The members would be left without the claims when all others have ended.
  it('leaves the view to a member that was not heard yet', () => {
    const change = planViewChange(
      inputOf({isAwaited: isOneOf(B), isLeaving: true}),
    );
    expect(change).toEqual({kind: 'members', members: [B]});
  });

  // A member that has restarted was replaced by its earlier incarnation.
  it('does not add an earlier incarnation of a member that was not heard yet', () => {
    const view = viewOf(A, LATER_B);
    const live = [{...B, isDraining: false}];
    const isAwaited = isOneOf(LATER_B);
    expect(planViewChange(inputOf({view, live, isAwaited}))).toEqual({
      kind: 'none',
    });
  });

  it('replaces a member by its later incarnation', () => {
    const live = [
      {...LATER_B, isDraining: false},
      {...C, isDraining: false},
    ];
    const laterIncarnation = (m: ViewMember): ViewMember | undefined =>
      m.instanceId === B.instanceId ? LATER_B : undefined;
    expect(planViewChange(inputOf({live, laterIncarnation}))).toEqual({
      kind: 'members',
      members: [A, LATER_B, C],
    });
  });

  it('resets a view of which later incarnations of all members are known', () => {
    const change = planViewChange(
      inputOf({
        view: viewOf(A, B),
        self: LATER_A,
        isSynced: false,
        live: [{...LATER_B, isDraining: false}],
        laterIncarnation: () => LATER_B,
      }),
    );
    expect(change).toEqual({
      kind: 'reset',
      members: [LATER_A, LATER_B],
      replaced: [LATER_A, LATER_B],
    });
  });

  // The claims of a member were reset that was known by its earlier boot id.
  it('does not reset a view of a member of which no later incarnation is known', () => {
    const change = planViewChange(
      inputOf({
        view: viewOf(LATER_B),
        isSynced: false,
        live: [{...B, isDraining: false}],
      }),
    );
    expect(change).toEqual({kind: 'none'});
  });

  it('renews a member that is not synced when all others were replaced', () => {
    const change = planViewChange(
      inputOf({
        view: viewOf(A, B),
        isSynced: false,
        live: [{...LATER_B, isDraining: false}],
        laterIncarnation: () => LATER_B,
      }),
    );
    expect(change).toEqual({kind: 'renew'});
  });
});
