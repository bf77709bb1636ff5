import type {JobOutcome, ScheduledJob, TaskId} from '@papayarun/protocol';
import type {JobRecord} from './job_record.js';
import {jobKey} from '../job_key/job_key.js';
import {criticalPathMs} from './critical_path_ms.js';

/** Widest step that runs in a single wave, as a share of all slots. */
const WAVE_SHARE = 0.25;

/**
 * Creates the record of a job that has arrived.
 *
 * @param job - The job.
 * @param expectedMs - Expected run time of a task, by step, in milliseconds.
 * @param sequence - Position in the order of arrival.
 * @param totalSlots - Slots for its tasks in all data centres of the service.
 * @param nowMs - Monotonic time in milliseconds.
 * @returns The record. Tasks that an earlier scheduler placed are done or
 *   claimed; the others wait or are blocked by earlier steps.
 * @throws Never.
 * @example
 * const record = createJobRecord(job, [60], 1, 66, clock.now());
 */
export function createJobRecord(
  job: ScheduledJob,
  expectedMs: readonly number[],
  sequence: number,
  totalSlots: number,
  nowMs: number,
): JobRecord {
  let resolveOutcome: (outcome: JobOutcome) => void = () => undefined;
  const outcome = new Promise<JobOutcome>(
    resolve => (resolveOutcome = resolve),
  );
  // A step that is wider than its share of the slots runs in several waves,
  // and the objective allows time for each of them.
  const waveSize = Math.max(1, totalSlots * WAVE_SHARE);
  const waveTimesMs = job.steps.map(
    (step, n) => expectedMs[n]! * Math.max(1, Math.ceil(step.count / waveSize)),
  );
  const objectiveMs =
    job.stretch * criticalPathMs(job.steps, waveTimesMs) + job.slackMs;
  const objectiveAtMs = nowMs + objectiveMs - job.ageMs;
  const pathMs = criticalPathMs(job.steps, expectedMs);
  const record: JobRecord = {
    job,
    key: jobKey(job),
    requester: undefined,
    sequence,
    receivedMs: nowMs,
    objectiveAtMs,
    callerDeadlineAtMs: nowMs + job.leftMs,
    expectedMs,
    criticalPathMs: pathMs,
    widestStep: Math.max(...job.steps.map(step => step.count)),
    slots: Infinity,
    yieldsUntilMs: -Infinity,
    lateFromMs: objectiveAtMs - pathMs,
    tasks: [],
    samples: [],
    longestRunMs: job.steps.map(() => 0),
    hasStarted: job.placed !== undefined,
    isConcluded: false,
    lacksTarget: false,
    forecast: undefined,
    abandonedRuns: new Set(),
    resolveAbandoned: undefined,
    resolveOutcome,
    outcome,
  };
  const placed = new Map(job.placed?.map(p => [p.taskId, p]));
  job.steps.forEach((step, n) => {
    for (let i = 0; i < step.count; i++) {
      const taskId = `${job.id}.0.${n}.${step.firstIndex + i}` as TaskId;
      const previous = placed.get(taskId);
      record.tasks.push({
        taskId,
        stepIndex: n,
        state: previous
          ? previous.isDone
            ? 'done'
            : 'claimed'
          : step.after.length > 0
            ? 'blocked'
            : 'waiting',
        claimedTargetId: previous?.targetId,
        failures: 0,
        nextRunNumber: 1 + (previous?.run ?? 0),
        run: undefined,
        longestStoppedMs: 0,
        excludedTargets: new Set(),
      });
    }
  });
  return record;
}
