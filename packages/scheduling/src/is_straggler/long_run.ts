/**
 * What is known of a run that takes longer than expected, of its task and of
 * its target.
 */
export interface LongRun {
  /** Time since the order to start, in milliseconds. */
  readonly ranMs: number;
  /** Expected run time on a target of usual speed, in milliseconds. */
  readonly expectedMs: number;
  /** Whether the expected run time was learned from enough completed tasks. */
  readonly isExpectationReliable: boolean;
  /**
   * Longest run time of a completed task of the same step, in milliseconds; 0 if
   * there is none.
   */
  readonly knownNeedMs: number;
  /** Whether an earlier run of the task was stopped as a straggler. */
  readonly isRepeated: boolean;
  /**
   * Time since a run last completed on the target, or since this run was
   * ordered if that was later, in milliseconds.
   */
  readonly targetQuietMs: number;
  /** Whether the last run on the target failed or was stopped as a straggler. */
  readonly isTargetSuspect: boolean;
  /** Whether another target has room for the task. */
  readonly hasRoomElsewhere: boolean;
  /** Time until the caller stops waiting, in milliseconds. */
  readonly leftMs: number;
}
