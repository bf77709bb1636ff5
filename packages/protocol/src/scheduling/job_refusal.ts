/**
 * Why a job was not begun.
 */
export type JobRefusal =
  | 'notScheduler'
  | 'takingOver'
  | 'noTargets'
  | 'tooLate'
  | 'tooMany'
  | 'cancelled';
