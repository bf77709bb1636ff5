import type {JobCommand, JobView, Outcome, Work} from '@papayarun/protocol';
import type {Announcement, Clock, DataCentreId} from '@papayarun/protocol';
import type {ControlResult, ControlState} from '@papayarun/releases';
import type {ReleasePolicy} from '../release_policy/release_policy.js';

/**
 * What the callers' interface asks of the instance.
 */
export interface CallerApiOptions {
  readonly dataCentre: DataCentreId;
  readonly clock: Clock;
  readonly policy: ReleasePolicy;
  readonly defaultDeadlineMs: number;
  readonly maxJobTasks: number;
  readonly announceIntervalMs: number;
  readonly state: () => ControlState;
  readonly isReady: () => boolean;
  /** Whether the balancer should send new connections here. */
  readonly isInBalance: () => boolean;
  readonly generation: () => number;
  /** Runs repeatable work. */
  readonly runRepeatable: (work: Work, signal: AbortSignal) => Promise<Outcome>;
  /** Runs work with an idempotency key at its home data centre. */
  readonly runOnce: (work: Work, signal: AbortSignal) => Promise<Outcome>;
  readonly job: (command: JobCommand) => Promise<JobView>;
  readonly announce: (announcement: Announcement) => void;
  readonly setPreferences: (
    customer: string,
    choices: Readonly<Record<string, unknown>>,
  ) => Promise<ControlResult>;
}
