import type {JobId, SubmissionId} from '@papayarun/protocol';
import {VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {HeldJobs} from './held_jobs.js';

const JOB = '5c0e7a21d94b36f8' as JobId;
const FIRST = 'centro-1/1' as SubmissionId;
const SECOND = 'centro-1/2' as SubmissionId;
const NEVER = new AbortController().signal;

/** Waits for the end of a job's runs; the time is set when the wait ends. */
function waitFor(
  clock: VirtualClock,
  held: HeldJobs,
  signal = NEVER,
  latestMs = Infinity,
): {atMs?: number} {
  const wait: {atMs?: number} = {};
  void held
    .waitUntilEnded(JOB, latestMs, signal)
    .then(() => (wait.atMs = clock.now()));
  return wait;
}

describe('HeldJobs', () => {
  it('holds no job without an interrupted submission', async () => {
    const clock = VirtualClock.create();
    const wait = waitFor(clock, HeldJobs.create(clock));
    await clock.advance(0);
    expect(wait.atMs).toBe(0);
  });

  it('holds a job until all its submissions have ended', async () => {
    const clock = VirtualClock.create();
    const held = HeldJobs.create(clock);
    held.record({jobId: JOB, submissionId: FIRST, forMs: 1_000});
    held.record({jobId: JOB, submissionId: SECOND, forMs: 300});
    const wait = waitFor(clock, held);
    await clock.advance(100);
    held.record({jobId: JOB, submissionId: FIRST, forMs: 0});
    await clock.advance(1_000);
    expect(wait.atMs).toBe(300);
  });

  it('does not hold a job again for a late notice of what has ended', async () => {
    const clock = VirtualClock.create();
    const held = HeldJobs.create(clock);
    held.record({jobId: JOB, submissionId: FIRST, forMs: 1_000});
    held.record({jobId: JOB, submissionId: FIRST, forMs: 0});
    held.record({jobId: JOB, submissionId: FIRST, forMs: 1_000});
    const wait = waitFor(clock, held);
    await clock.advance(0);
    expect(wait.atMs).toBe(0);
    expect(held.size).toBe(0);
  });

  it('ends the wait of a caller that leaves', async () => {
    const clock = VirtualClock.create();
    const held = HeldJobs.create(clock);
    const caller = new AbortController();
    held.record({jobId: JOB, submissionId: FIRST, forMs: 1_000});
    const wait = waitFor(clock, held, caller.signal);
    await clock.advance(50);
    caller.abort();
    await clock.advance(0);
    expect(wait.atMs).toBe(50);
  });

  it('ends the wait at the latest time', async () => {
    const clock = VirtualClock.create();
    const held = HeldJobs.create(clock);
    held.record({jobId: JOB, submissionId: FIRST, forMs: 1_000});
    const wait = waitFor(clock, held, NEVER, 200);
    await clock.advance(1_000);
    expect(wait.atMs).toBe(200);
  });

  it('keeps a bounded number of submissions', () => {
    const held = HeldJobs.create(VirtualClock.create());
    for (let n = 0; n < 20_000; n++) {
      held.record({
        jobId: `${n}` as JobId,
        submissionId: `centro-1/${n}` as SubmissionId,
        forMs: 1_000,
      });
    }
    expect(held.size).toBeLessThanOrEqual(16_384);
  });

  it('counts no submission whose time has passed', async () => {
    const clock = VirtualClock.create();
    const held = HeldJobs.create(clock);
    held.record({jobId: JOB, submissionId: FIRST, forMs: 1_000});
    await clock.advance(1_001);
    expect(held.size).toBe(0);
  });

  it('does not hold a job for a submission whose end is known first', () => {
    const held = HeldJobs.create(VirtualClock.create());
    held.record({jobId: JOB, submissionId: FIRST, forMs: 0});
    held.record({jobId: JOB, submissionId: FIRST, forMs: 1_000});
    expect(held.has(JOB)).toBe(false);
  });

  it('holds all jobs until runs that it has no room for have ended', async () => {
    const clock = VirtualClock.create();
    const held = HeldJobs.create(clock);
    for (let n = 0; n < 20_000; n++) {
      held.record({
        jobId: `${n}` as JobId,
        submissionId: `centro-1/${n}` as SubmissionId,
        forMs: 1_000,
      });
    }
    const jobs = [JOB, ...Array.from({length: 20_000}, (_, n) => `${n}`)];
    expect(jobs.filter(id => !held.has(id as JobId))).toEqual([]);
    const wait = waitFor(clock, held);
    await clock.advance(2_000);
    expect(wait.atMs).toBe(1_000);
    expect(held.has(JOB)).toBe(false);
  });

  it('has room for interruptions after many that have ended', () => {
    const held = HeldJobs.create(VirtualClock.create());
    for (let n = 0; n < 20_000; n++) {
      const submissionId = `centro-1/${n}` as SubmissionId;
      const jobId = `${n}` as JobId;
      held.record({jobId, submissionId, forMs: 1_000});
      held.record({jobId, submissionId, forMs: 0});
    }
    held.record({jobId: JOB, submissionId: FIRST, forMs: 1_000});
    expect(held.has(JOB)).toBe(true);
    expect(held.has('other' as JobId)).toBe(false);
  });

  it('holds all jobs while runs may go on of jobs that nobody could name', async () => {
    const clock = VirtualClock.create();
    const held = HeldJobs.create(clock);
    held.recordOthers(300);
    expect(held.has(JOB)).toBe(true);
    const wait = waitFor(clock, held);
    await clock.advance(1_000);
    expect(wait.atMs).toBe(300);
  });

  it('keeps nothing of the jobs that have waited while all were held', async () => {
    const clock = VirtualClock.create();
    const held = HeldJobs.create(clock);
    held.record({jobId: JOB, submissionId: FIRST, forMs: 300});
    held.recordOthers(1_000);
    const wait = waitFor(clock, held);
    const other = held.waitUntilEnded('other' as JobId, Infinity, NEVER);
    await clock.advance(100);
    expect(held.awaitedJobs).toBe(1);
    held.record({jobId: JOB, submissionId: FIRST, forMs: 0});
    await clock.advance(1_000);
    await other;
    expect(wait.atMs).toBe(1_000);
    expect(held.awaitedJobs).toBe(0);
  });
});
