/**
 * Job as input for the bound of a schedule.
 */
export interface BoundJob {
  /** Time of arrival, in milliseconds. */
  readonly atMs: number;
  /** Time by which an answer counts in full, in milliseconds. */
  readonly objectiveAtMs: number;
  /** Time after which an answer counts nothing, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Value of the job when it is answered in time. */
  readonly value: number;
  /** Cores of each task. */
  readonly cores: number;
  /** Sum of the run times of its tasks on a usual target, in milliseconds. */
  readonly workMs: number;
}
