import type {
  Clock,
  EventLog,
  JobOutcome,
  ScheduledJob,
} from '@papayarun/protocol';
import type {TargetPort} from '../target_port/target_port.js';
import type {SchedulerTiming} from './scheduler_timing.js';

/**
 * What a scheduler needs.
 */
export interface SchedulerOptions {
  readonly port: TargetPort;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly timing: SchedulerTiming;
  /** Data centres that have a scheduler, this one included; a count. */
  readonly dataCentres: () => number;
  /** Called when a target has seen a higher fencing token than the grant's. */
  readonly onFenced: (token: number) => void;
  /** Called with each job that ended, for metrics. */
  readonly onOutcome: (
    job: ScheduledJob,
    outcome: JobOutcome,
    tookMs: number,
  ) => void;
}
