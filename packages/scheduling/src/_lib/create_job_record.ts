import type {JobOutcome, ScheduledJob, TaskId} from '@papayarun/protocol';
import type {JobRecord} from './job_record.js';
import {jobKey} from './job_key.js';
import {longestChain} from './longest_chain.js';

/** Widest step that counts as one wave, as a share of all places. */
const WAVE_SHARE = 0.25;

/**
 * Makes the record of a job that has come in.
 *
 * @param job - The job.
 * @param expectedMs - Expected run time of a task, by step.
 * @param sequence - Order of arrival.
 * @param room - Places of the whole service that its tasks may use.
 * @param nowMs - Monotonic time.
 * @returns The record; all tasks wait or are blocked by earlier steps.
 * @throws Never.
 * @example
 * const record = createJobRecord(job, [60], 1, 66, clock.now());
 */
export function createJobRecord(
  job: ScheduledJob,
  expectedMs: readonly number[],
  sequence: number,
  room: number,
  nowMs: number,
): JobRecord {
  let finish: (outcome: JobOutcome) => void = () => undefined;
  const outcome = new Promise<JobOutcome>(resolve => (finish = resolve));
  // A step that is wider than its share of the places takes several waves.
  const wave = Math.max(1, room * WAVE_SHARE);
  const inWavesMs = job.steps.map(
    (step, n) => expectedMs[n]! * Math.max(1, Math.ceil(step.count / wave)),
  );
  const objectiveMs =
    job.stretch * longestChain(job.steps, inWavesMs) + job.slackMs;
  const record: JobRecord = {
    job,
    key: jobKey(job),
    sequence,
    receivedMs: nowMs,
    objectiveAtMs: nowMs + objectiveMs - job.ageMs,
    callerLeavesAtMs: nowMs + job.leftMs,
    expectedMs,
    chainMs: longestChain(job.steps, expectedMs),
    tasks: [],
    samples: [],
    hasRun: job.placed !== undefined,
    isOver: false,
    finish,
    outcome,
  };
  const placed = new Map(job.placed?.map(p => [p.taskId, p]));
  job.steps.forEach((step, n) => {
    for (let i = 0; i < step.count; i++) {
      const taskId = `${job.id}.0.${n}.${step.firstIndex + i}` as TaskId;
      const before = placed.get(taskId);
      record.tasks.push({
        job: record,
        taskId,
        step: n,
        state: before
          ? before.isDone
            ? 'done'
            : 'claimed'
          : step.after.length > 0
            ? 'blocked'
            : 'waiting',
        claimedAt: before?.targetId,
        failures: 0,
        nextRun: 1 + (before?.run ?? 0),
        run: undefined,
        avoid: new Set(),
      });
    }
  });
  return record;
}
