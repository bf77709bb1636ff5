/**
 * How a caller sends a job; times are in milliseconds.
 */
export interface CallerPlan {
  readonly atMs: number;
  readonly tasks: number;
  readonly runMs: number;
  readonly estimateMs: number;
  readonly leftMs: number;
  /** Entry of each submission, the first one included. */
  readonly entries: readonly number[];
  /** Time after which the connection of the first submission breaks. */
  readonly leaveAfterMs: number | undefined;
  /** Time after a `completed` answer at which the job is sent once more. */
  readonly againAfterDoneMs: number | undefined;
}
