import type {Resources, ScheduledJob, TaskId} from '@papayarun/protocol';

/**
 * State of a run of a task that was ordered on a target, as the session with the
 * target knows it.
 *
 * @description `uncertain`: the order to start was not answered, so the run may
 * or may not have begun.
 */
export interface RunRecord {
  readonly taskId: TaskId;
  readonly job: ScheduledJob;
  readonly runNumber: number;
  readonly needs: Resources;
  state: 'starting' | 'running' | 'uncertain' | 'stopping';
  /** Monotonic time of the order to start, in milliseconds. */
  readonly orderedMs: number;
  /**
   * Monotonic time at which the target confirmed the run; undefined until then.
   */
  confirmedMs: number | undefined;
  /** Whether the current incarnation of the target has listed the run. */
  isListed: boolean;
  /**
   * Whether the target has restarted since the order and has not listed the run,
   * which may have ended with the earlier incarnation.
   */
  mayBeLost: boolean;
  /** Whether the target was asked about the run after its expected end. */
  isOverdueChecked: boolean;
  /** Expected run time on this target, in milliseconds. */
  readonly expectedMs: number;
  /**
   * End of the lease in the order to start, on the target's clock, in
   * milliseconds.
   */
  readonly leaseEndMs: number;
  /**
   * Whether an earlier scheduler ordered the run, so that its start time is
   * unknown.
   */
  readonly isAdopted: boolean;
  /**
   * Monotonic time by which its lease has to end, in milliseconds; moves on while
   * those that wait for its job are heard.
   */
  permittedUntilMs: number;
  /** Whether the crash of its target has been recorded. */
  isCrashRecorded: boolean;
  /**
   * Monotonic time at which the job was given up, in milliseconds; undefined
   * until then. The end of the run no longer affects the job.
   */
  abandonedMs: number | undefined;
}
