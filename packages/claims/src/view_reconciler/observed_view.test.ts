import type {PeerState} from '@papayarun/membership';
import type {BootId, DataCentreId, InstanceId} from '@papayarun/protocol';
import type {ClaimView, ViewMember} from '@papayarun/releases';
import {VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {ObservedView} from './observed_view.js';

const B = 'b' as InstanceId;
const MEMBER: ViewMember = {instanceId: B, boot: 'second' as BootId};
const TIMEOUT_MS = 250;
/** Index of the log at which the view is seen first. */
const INDEX = 40;

function viewOf(epoch: number, ...members: ViewMember[]): ClaimView {
  return {
    dataCentre: 'centro' as DataCentreId,
    epoch,
    generation: 1,
    openedAtEpoch: 1,
    members: members.map(m => ({...m, since: 1})),
  };
}

/** Observes a view of `b`, of which a heartbeat was received or none. */
function observe(heartbeat?: {boot: string; stateIndex: number}): {
  readonly clock: VirtualClock;
  readonly observed: ObservedView;
} {
  const clock = VirtualClock.create();
  const observed = ObservedView.create({
    clock,
    peer: () => heartbeat && ({heartbeat} as unknown as PeerState),
    timeoutOf: () => TIMEOUT_MS,
  });
  observed.update(viewOf(3, MEMBER), INDEX);
  return {clock, observed};
}

describe('ObservedView', () => {
  // A member that had restarted was taken for replaced by its earlier incarnation.
  it('takes no incarnation for the later one that has not applied the view', () => {
    const {observed} = observe({boot: 'first', stateIndex: INDEX - 1});
    expect(observed.laterIncarnation(MEMBER)).toBeUndefined();
  });

  it('takes an incarnation for the later one that has applied the view', () => {
    const {observed} = observe({boot: 'third', stateIndex: INDEX});
    expect(observed.laterIncarnation(MEMBER)).toEqual({
      instanceId: B,
      boot: 'third',
    });
    expect(observed.isAwaited(MEMBER)).toBe(false);
  });

  it('knows no later incarnation of a member that is heard', () => {
    const {observed} = observe({boot: 'second', stateIndex: INDEX + 1});
    expect(observed.laterIncarnation(MEMBER)).toBeUndefined();
    expect(observed.isAwaited(MEMBER)).toBe(false);
  });

  it.each([undefined, {boot: 'first', stateIndex: INDEX - 1}])(
    'awaits a member that was not heard for as long as silence may last (%j)',
    async heartbeat => {
      const {clock, observed} = observe(heartbeat);
      await clock.advance(TIMEOUT_MS);
      expect(observed.isAwaited(MEMBER)).toBe(true);
      await clock.advance(1);
      expect(observed.isAwaited(MEMBER)).toBe(false);
    },
  );

  // A dead member could be kept for ever by changes of the other members.
  it('does not await a member anew when other members change', async () => {
    const {clock, observed} = observe();
    await clock.advance(TIMEOUT_MS);
    const other = {...MEMBER, instanceId: 'c' as InstanceId};
    observed.update(viewOf(4, MEMBER, other), INDEX + 1);
    await clock.advance(1);
    expect(observed.isAwaited(MEMBER)).toBe(false);
    expect(observed.isAwaited(other)).toBe(true);
  });
});
