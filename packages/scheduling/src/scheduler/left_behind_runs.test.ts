import type {PlacedTask, ScheduledJob, TargetId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {jobOf} from '../_test/job_of.js';
import {reportOf} from '../_test/report_of.js';
import {SimulatedDataCentre} from '../_test/simulated_data_centre.js';
import {SimulatedEntry} from '../_test/simulated_entry.js';
import {TargetSimulation} from '../_test/target_simulation.js';
import {waitForOutcome} from '../_test/wait_for_outcome.js';

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

describe('A job that is handed over after its deadline', () => {
  // The successor had no jobs before, so its next check was up to 200 ms later.
  it('is answered without delay', async () => {
    const sim = new TargetSimulation(1, 4_000);
    const scheduler = sim.scheduler();
    scheduler.begin(1);
    scheduler.acceptReport(sim.addTarget());
    await sim.clock.advance(20);
    const job = oneTaskJob(1);
    void scheduler.submit(job);
    await sim.clock.advance(100);
    scheduler.end();
    const successor = sim.scheduler();
    successor.begin(2);
    successor.acceptReport(reportOf('t1' as TargetId));
    await sim.clock.advance(50);
    const taskId = `${job.id}.0.0.0` as PlacedTask['taskId'];
    const targetId = 't1' as TargetId;
    const placed = [{taskId, targetId, run: 1, isDone: false}];
    const outcome = successor.submit({...job, leftMs: -10, placed});
    const sentMs = sim.clock.now();
    await waitForOutcome(sim.clock, outcome, 1_000);
    expect(sim.clock.now() - sentMs).toBeLessThanOrEqual(100);
  });
});

describe('A target that is silent until its last run has lapsed', () => {
  // No hold was sent to a silent target without runs, so it stayed silent.
  it('is used again once it answers', async () => {
    const sim = new TargetSimulation(1, 4_000);
    const centre = new SimulatedDataCentre(sim, 1);
    const entry = new SimulatedEntry(sim.clock, 'e1', [centre]);
    await sim.clock.advance(20);
    const {signal} = new AbortController();
    void entry.submit({...oneTaskJob(1), leftMs: 1_500}, signal);
    await sim.clock.advance(1_000);
    sim.faults.cut.add('t1' as TargetId);
    await sim.clock.advance(4_000);
    sim.faults.cut.clear();
    await sim.clock.advance(5_000);
    const outcome = entry.submit(oneTaskJob(2), signal);
    const {kind} = await waitForOutcome(sim.clock, outcome, 8_000);
    expect(kind).toBe('completed');
  });
});
