/**
 * Why a job failed after it may have begun.
 */
export type JobFailure =
  | 'taskFailed'
  | 'targetLost'
  | 'deadline'
  | 'schedulerLost'
  | 'cancelled'
  | 'neverFits';
