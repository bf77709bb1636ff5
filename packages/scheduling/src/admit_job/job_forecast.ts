/**
 * Expected ends and time limits of a job, for the decision whether to admit it.
 */
export interface JobForecast {
  /** Slots for tasks of this size, busy or free. */
  readonly slots: number;
  /** Expected duration of the critical path, in milliseconds. */
  readonly criticalPathMs: number;
  /** Time until each task is expected to end, in milliseconds. */
  readonly endsMs: readonly number[];
  /**
   * Share of the slots that more urgent work keeps busy; above 1 under
   * overload.
   */
  readonly urgentShare: number;
  /** Time from now until the objective has passed, in milliseconds. */
  readonly objectiveTimeLeftMs: number;
  /** Time from now until a late answer is of little use, in milliseconds. */
  readonly usefulTimeLeftMs: number;
  /** Time from now until the caller stops waiting, in milliseconds. */
  readonly callerTimeLeftMs: number;
  /** Time by which the event loop runs late, in milliseconds. */
  readonly loopLagMs: number;
  /** Number of jobs that already wait at this scheduler. */
  readonly waitingJobs: number;
  /** Whether the scheduler has just begun and still discovers targets. */
  readonly isDiscoveringTargets: boolean;
}
