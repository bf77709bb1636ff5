import type {
  JobOutcome,
  RunTimeSample,
  ScheduledJob,
} from '@papayarun/protocol';
import type {TaskRecord} from './task_record.js';

/**
 * A job at the scheduler.
 */
export interface JobRecord {
  readonly job: ScheduledJob;
  /** Tells parts of a job that was split from each other. */
  readonly key: string;
  /** Order of arrival. */
  readonly sequence: number;
  readonly receivedMs: number;
  /** Monotonic time at which its objective has passed. */
  readonly objectiveAtMs: number;
  /** Monotonic time at which its caller stops waiting. */
  readonly callerDeadlineAtMs: number;
  /** Expected run time of a task, by step. */
  readonly expectedMs: readonly number[];
  /** Expected time of its longest chain of steps, in milliseconds. */
  readonly criticalPathMs: number;
  readonly tasks: TaskRecord[];
  readonly samples: RunTimeSample[];
  /** Whether a run of one of its tasks has certainly begun. */
  hasStarted: boolean;
  isConcluded: boolean;
  readonly resolveOutcome: (outcome: JobOutcome) => void;
  readonly outcome: Promise<JobOutcome>;
}
