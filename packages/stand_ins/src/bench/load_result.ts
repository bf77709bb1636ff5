import type {ValueRecorder} from './value_recorder.js';

/**
 * Outcome counts and latencies of a load.
 */
export interface LoadResult {
  sent: number;
  answered: number;
  refusedNotRun: number;
  /** Requests stopped because their deadline passed while they ran. */
  late: number;
  failed: number;
  /** Response time divided by run time, of answered requests. */
  readonly responseRatio: ValueRecorder;
  /** Response time in milliseconds, of answered requests. */
  readonly responseMs: ValueRecorder;
  /** Time to refusal in milliseconds, of requests that were not run. */
  readonly refusalMs: ValueRecorder;
  /** Sum of the run times of answered requests, in milliseconds. */
  answeredRunMs: number;
}
