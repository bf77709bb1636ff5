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
  /** Its caller has cancelled it by name, or another one has. */
  | 'cancelledByCaller'
  | 'neverFits';
