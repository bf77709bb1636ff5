/**
 * Reason why a job failed after some of its tasks may have started.
 */
export type JobFailure =
  | 'taskFailed'
  | 'targetLost'
  /** A target crashed under it, and its kind has crashed several targets. */
  | 'kindSuspected'
  | 'deadline'
  | 'schedulerLost'
  | 'cancelled'
  | 'neverFits';
