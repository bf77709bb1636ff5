import type {DataCentreId} from '@papayarun/protocol';
import type {Evacuation} from '@papayarun/releases';
import {SilentLog, VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {EvacuationTracker} from './evacuation_tracker.js';

const CENTRO = 'centro' as DataCentreId;

function stateOf(
  serial: number,
  isEvacuated: boolean,
): {evacuations: Record<DataCentreId, Evacuation>} {
  return {evacuations: {[CENTRO]: {serial, isEvacuated, atMs: 0}}};
}

describe('EvacuationTracker', () => {
  it('reports each evacuation once, with its phases', async () => {
    const clock = VirtualClock.create();
    const log = SilentLog.create();
    const tracker = EvacuationTracker.create({clock, log, evacuationMs: 5_000});
    expect(tracker.update({evacuations: {}})).toEqual([]);
    expect(tracker.phaseOf(CENTRO).kind).toBe('inService');
    expect(tracker.update(stateOf(1, true))).toEqual([CENTRO]);
    expect(tracker.update(stateOf(1, true))).toEqual([]);
    expect(tracker.phaseOf(CENTRO).kind).toBe('leaving');
    expect(tracker.gauges()['evacuated_data_centres']).toBe(1);
    await clock.advance(2_500);
    expect(tracker.phaseOf(CENTRO).kind).toBe('evacuated');
    expect(tracker.update(stateOf(2, false))).toEqual([]);
    expect(tracker.phaseOf(CENTRO)).toEqual({kind: 'returning', share: 0.25});
    expect(tracker.isEvacuated(CENTRO)).toBe(false);
    expect(tracker.gauges()['evacuated_data_centres']).toBe(0);
  });

  // An instance that was restarted used a quarter of its targets for two seconds.
  it('takes a data centre for in service if it never knew it to be evacuated', () => {
    const clock = VirtualClock.create();
    const log = SilentLog.create();
    const tracker = EvacuationTracker.create({clock, log, evacuationMs: 5_000});
    tracker.update(stateOf(2, false));
    expect(tracker.phaseOf(CENTRO).kind).toBe('inService');
  });

  // Orders of which the first was withdrawn and given again while it was cut off.
  it('keeps an evacuation in force that was withdrawn and ordered again unseen', async () => {
    const clock = VirtualClock.create();
    const log = SilentLog.create();
    const tracker = EvacuationTracker.create({clock, log, evacuationMs: 5_000});
    tracker.update(stateOf(1, true));
    await clock.advance(3_000);
    tracker.update(stateOf(3, true));
    expect(tracker.phaseOf(CENTRO).kind).toBe('evacuated');
  });

  // It started tasks of jobs that were handed over to it long after the bound.
  it('leaves no grace period, or the rest of it, to an instance that starts after the order', async () => {
    const clock = VirtualClock.create();
    const log = SilentLog.create();
    const atMs = clock.wallNow();
    const {evacuations} = stateOf(1, true);
    const ordered = {[CENTRO]: {...evacuations[CENTRO]!, atMs}};
    await clock.advance(1_500);
    const early = EvacuationTracker.create({clock, log, evacuationMs: 5_000});
    early.update({evacuations: ordered});
    expect(early.phaseOf(CENTRO).kind).toBe('leaving');
    await clock.advance(1_000);
    expect(early.phaseOf(CENTRO).kind).toBe('evacuated');
    const late = EvacuationTracker.create({clock, log, evacuationMs: 5_000});
    expect(late.update({evacuations: ordered})).toEqual([CENTRO]);
    expect(late.phaseOf(CENTRO).kind).toBe('evacuated');
  });

  // Jobs that it runs since before would fail as soon as it is in contact again.
  it('has a whole grace period if it learns of the order late, after a partition', async () => {
    const clock = VirtualClock.create();
    const log = SilentLog.create();
    const atMs = clock.wallNow();
    const tracker = EvacuationTracker.create({clock, log, evacuationMs: 5_000});
    tracker.update({evacuations: {}});
    await clock.advance(60_000);
    tracker.update({
      evacuations: {[CENTRO]: {serial: 1, isEvacuated: true, atMs}},
    });
    expect(tracker.phaseOf(CENTRO).kind).toBe('leaving');
    await clock.advance(2_500);
    expect(tracker.phaseOf(CENTRO).kind).toBe('evacuated');
  });

  // The metric gave the age of an order that was withdrawn long ago.
  it('gives the age of the order in force if it was withdrawn and given again unseen', async () => {
    const clock = VirtualClock.create();
    const log = SilentLog.create();
    const tracker = EvacuationTracker.create({clock, log, evacuationMs: 5_000});
    const inForce = (serial: number): void => {
      const atMs = clock.wallNow();
      tracker.update({
        evacuations: {[CENTRO]: {serial, isEvacuated: true, atMs}},
      });
    };
    inForce(1);
    await clock.advance(60_000);
    inForce(3);
    expect(tracker.gauges()['oldest_evacuation_ms']).toBe(0);
    expect(log.count('evacuationInForce')).toBe(2);
  });
});
