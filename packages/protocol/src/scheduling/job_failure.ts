/**
 * Reason why a job failed after some of its tasks may have started.
 */
export type JobFailure =
  | 'taskFailed'
  | 'targetLost'
  | 'deadline'
  | 'schedulerLost'
  | 'cancelled'
  | 'neverFits';
