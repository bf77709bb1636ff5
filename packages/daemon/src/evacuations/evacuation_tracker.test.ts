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
});
