import type {
  InstanceId,
  JobOutcome,
  RunTimeSample,
  ScheduledJob,
} from '@papayarun/protocol';
import type {Forecast} from '../scheduler/forecast.js';
import type {RunRecord} from './run_record.js';
import type {TaskRecord} from './task_record.js';

/**
 * State of a job at its scheduler.
 */
export interface JobRecord {
  readonly job: ScheduledJob;
  /** Key of the record, which differs between the parts of a split job. */
  readonly key: string;
  /** Instance that submitted the job first, if known. */
  requester: InstanceId | undefined;
  /** Position in the order of arrival. */
  readonly sequence: number;
  readonly receivedMs: number;
  /** Monotonic time by which the job should end to meet its objective. */
  readonly objectiveAtMs: number;
  /** Monotonic time at which the caller stops waiting. */
  readonly callerDeadlineAtMs: number;
  /** Expected run time of a task, by step, in milliseconds. */
  readonly expectedMs: readonly number[];
  /** Expected duration of the critical path, in milliseconds. */
  readonly criticalPathMs: number;
  /** Number of tasks of its widest step. */
  readonly widestStep: number;
  /** Slots for its tasks at this scheduler when it arrived, busy or free. */
  slots: number;
  /**
   * Monotonic time until which others of its priority go first, in milliseconds;
   * -Infinity if they don't.
   */
  yieldsUntilMs: number;
  /** Monotonic time from which it can't meet its objective, in milliseconds. */
  lateFromMs: number;
  readonly tasks: TaskRecord[];
  readonly samples: RunTimeSample[];
  /** Longest run time of a completed task, by step, in milliseconds. */
  readonly longestRunMs: number[];
  /** Whether a run of one of its tasks has begun or may have begun. */
  hasStarted: boolean;
  isConcluded: boolean;
  /**
   * Whether none of the targets known at its arrival can run one of its steps,
   * while others were still being discovered.
   */
  lacksTarget: boolean;
  /** Undefined until its admission is decided here. */
  forecast: Forecast | undefined;
  /** Runs that were given up with the job and aren't known to have ended. */
  readonly abandonedRuns: Set<RunRecord>;
  /** Returns the outcome, once no abandoned run is left; undefined before. */
  resolveAbandoned: (() => void) | undefined;
  readonly resolveOutcome: (outcome: JobOutcome) => void;
  readonly outcome: Promise<JobOutcome>;
}
