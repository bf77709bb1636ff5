/**
 * What is known of a job when it is decided whether to take it.
 */
export interface JobForecast {
  /** Places, busy or free, that tasks of this size may use. */
  readonly slots: number;
  /** Run time of its longest chain, in milliseconds. */
  readonly criticalPathMs: number;
  /** Time until each task is expected to end, in milliseconds. */
  readonly endsMs: readonly number[];
  /** Share of the places that more urgent work keeps busy, 0 to 1. */
  readonly urgentShare: number;
  /** Time from now until its objective has passed, in milliseconds. */
  readonly objectiveTimeLeftMs: number;
  /** Time from now until an answer is taken to be of little use, in ms. */
  readonly usefulTimeLeftMs: number;
  /** Time until its caller stops waiting, in milliseconds. */
  readonly callerTimeLeftMs: number;
  /** Jobs that wait at this scheduler already. */
  readonly waitingJobs: number;
  /** Whether targets are still to be heard of, after a change. */
  readonly isDiscoveringTargets: boolean;
}
