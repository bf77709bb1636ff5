/**
 * Reason why a job was not started.
 */
export type JobRefusal =
  | 'notScheduler'
  | 'takingOver'
  | 'noTargets'
  | 'tooLate'
  /** The job would end in time, but other schedulers may start it earlier. */
  | 'wouldWait'
  | 'tooMany'
  /** Nothing may be started on the targets of the data centre. */
  | 'evacuated'
  | 'cancelled';
