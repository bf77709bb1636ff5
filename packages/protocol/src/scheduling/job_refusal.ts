/**
 * Why a job was not begun.
 */
export type JobRefusal =
  | 'notScheduler'
  | 'takingOver'
  | 'noTargets'
  | 'tooLate'
  /** It would be done in time, but others may begin it earlier. */
  | 'wouldWait'
  | 'tooMany'
  | 'cancelled';
