import type {
  Clock,
  EventLog,
  JobOutcome,
  ScheduledJob,
} from '@papayarun/protocol';
import type {TargetPort} from '../target_port/target_port.js';
import type {SchedulerTiming} from './scheduler_timing.js';

/**
 * Dependencies and callbacks of a scheduler.
 */
export interface SchedulerOptions {
  readonly targetClient: TargetPort;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly timing: SchedulerTiming;
  /** Number of data centres with a scheduler, including this one. */
  readonly dataCentreCount: () => number;
  /**
   * Called when a target has seen a higher fencing token than that of the
   * grant.
   */
  readonly onFenced: (token: number) => void;
  /** Called with each job that has ended, for metrics. */
  readonly onOutcome: (
    job: ScheduledJob,
    outcome: JobOutcome,
    tookMs: number,
  ) => void;
}
