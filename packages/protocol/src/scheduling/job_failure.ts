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
  /** Its data centre was evacuated before all of its tasks had started. */
  | 'evacuated'
  | 'cancelled'
  /** Its caller has cancelled it by name, or another one has. */
  | 'cancelledByCaller'
  | 'neverFits';
