import type {JobOutcome, ScheduledJob, TaskId} from '@papayarun/protocol';
import type {JobRecord} from './job_record.js';
import {longestChain} from './longest_chain.js';

/** Run numbers that each submission of a job has for itself. */
const RUNS_PER_SUBMISSION = 16;

/**
 * Makes the record of a job that has come in.
 *
 * @param job - The job.
 * @param expectedMs - Expected run time of a task, by step.
 * @param sequence - Order of arrival.
 * @param nowMs - Monotonic time.
 * @returns The record; all tasks wait or are blocked by earlier steps.
 * @throws Never.
 * @example
 * const record = createJobRecord(job, [60], 1, clock.now());
 */
export function createJobRecord(
  job: ScheduledJob,
  expectedMs: readonly number[],
  sequence: number,
  nowMs: number,
): JobRecord {
  let finish: (outcome: JobOutcome) => void = () => undefined;
  const outcome = new Promise<JobOutcome>(resolve => (finish = resolve));
  const objectiveMs =
    job.stretch * longestChain(job.steps, expectedMs) + job.slackMs;
  const record: JobRecord = {
    job,
    sequence,
    receivedMs: nowMs,
    objectiveAtMs: nowMs + objectiveMs - job.ageMs,
    callerLeavesAtMs: nowMs + job.leftMs,
    expectedMs,
    tasks: [],
    mayHaveRun: job.submission > 0,
    isOver: false,
    finish,
    outcome,
  };
  job.steps.forEach((step, n) => {
    for (let i = 0; i < step.count; i++) {
      record.tasks.push({
        job: record,
        taskId: `${job.id}.0.${n}.${i}` as TaskId,
        step: n,
        state: step.after.length > 0 ? 'blocked' : 'waiting',
        failures: 0,
        nextRun: 1 + RUNS_PER_SUBMISSION * job.submission,
        run: undefined,
        avoid: new Set(),
      });
    }
  });
  return record;
}
