import type {JobRecord} from '../_lib/job_record.js';

/**
 * Marks the tasks of a job as waiting whose earlier steps are all done.
 *
 * @param record - The job.
 * @throws Never.
 * @example
 * unblockSteps(record);
 */
export function unblockSteps({job, tasks}: JobRecord): void {
  const isStepDone = job.steps.map(() => true);
  for (const {state, stepIndex} of tasks) {
    isStepDone[stepIndex] &&= state === 'done';
  }
  const isReady = job.steps.map(({after}) =>
    after.every(n => isStepDone[n] ?? true),
  );
  for (const task of tasks) {
    if (task.state === 'blocked' && isReady[task.stepIndex]) {
      task.state = 'waiting';
    }
  }
}
