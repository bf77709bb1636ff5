import type {JobOutcome} from '@papayarun/protocol';

/**
 * One submission of a job by a caller; times are in milliseconds.
 */
export interface SubmissionRecord {
  readonly entry: number;
  readonly sentMs: number;
  /** Time at which the connection broke; undefined if it did not. */
  leftMs: number | undefined;
  /** Time of the answer; undefined without one. */
  answeredMs: number | undefined;
  outcome: JobOutcome | undefined;
  /** Number of tasks of which a run had ended as done at the answer. */
  doneTasks: number;
}
