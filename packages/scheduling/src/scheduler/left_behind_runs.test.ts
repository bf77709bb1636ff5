import type {ScheduledJob} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {jobOf} from '../_test/job_of.js';
import {SimulatedDataCentre} from '../_test/simulated_data_centre.js';
import {SimulatedEntry} from '../_test/simulated_entry.js';
import {TargetSimulation} from '../_test/target_simulation.js';

/** Time after which a caller sends an unanswered job again, in milliseconds. */
const RESEND_MS = 1_300;
/** Delay of the late orders, in milliseconds. */
const LATE_MS = 3_000;

function oneTaskJob(n: number): ScheduledJob {
  const [step] = jobOf(n).steps;
  return jobOf(n, {leftMs: 8_000, steps: [{...step!, count: 1}]});
}

describe('A run whose job was given up', () => {
  // The successor renewed the lease for the run that it had taken over, and so
  // for the one that no job claimed.
  it('has ended before its job is sent again, also if a successor takes over another run on its target', async () => {
    const sim = new TargetSimulation(1, 4_000);
    const {clock} = sim;
    const centres = [1, 1].map(n => new SimulatedDataCentre(sim, n));
    const [near, far] = centres as [SimulatedDataCentre, SimulatedDataCentre];
    const entry = new SimulatedEntry(clock, 'e1', [near]);
    const otherEntry = new SimulatedEntry(clock, 'e2', [far]);
    await clock.advance(20);
    const caller = new AbortController();
    void entry.submit(oneTaskJob(1), new AbortController().signal);
    void entry.submit(oneTaskJob(2), caller.signal);
    await clock.advance(400);
    sim.faults.lateOrders = 1;
    sim.faults.minLateMs = LATE_MS;
    sim.faults.maxLateMs = LATE_MS;
    caller.abort();
    await clock.advance(20);
    void near.handOver(20);
    await clock.advance(RESEND_MS - 20);
    sim.faults.lateOrders = 0;
    void otherEntry.submit(oneTaskJob(2), new AbortController().signal);
    await clock.advance(8_000);
    expect(sim.concurrentRuns).toEqual([]);
  });
});
