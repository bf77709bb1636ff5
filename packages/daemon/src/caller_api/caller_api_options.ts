import type {JobCommand, JobView, Outcome, Work} from '@papayarun/protocol';
import type {Announcement, Clock, DataCentreId} from '@papayarun/protocol';
import type {ControlResult, ControlState} from '@papayarun/releases';
import type {ReleasePolicy} from '../release_policy/release_policy.js';

/**
 * Settings and instance operations that the caller API depends on.
 */
export interface CallerApiOptions {
  readonly dataCentre: DataCentreId;
  readonly clock: Clock;
  readonly policy: ReleasePolicy;
  /** Deadline of a request or job that declares none, in ms. */
  readonly defaultDeadlineMs: number;
  /** Maximum number of tasks in a job. */
  readonly maxJobTasks: number;
  /** Interval at which targets are told to announce themselves, in ms. */
  readonly announceIntervalMs: number;
  readonly state: () => ControlState;
  /** Whether the instance serves requests; also true while it drains. */
  readonly isReady: () => boolean;
  /** Whether the load balancer should send new connections to this instance. */
  readonly acceptsNewConnections: () => boolean;
  /** Generation of this data centre's claim view; 0 until it is formed. */
  readonly generation: () => number;
  /** Runs work that is safe to repeat. */
  readonly runRepeatable: (work: Work, signal: AbortSignal) => Promise<Outcome>;
  /** Runs work with an idempotency key in its home data centre. */
  readonly runIdempotent: (work: Work, signal: AbortSignal) => Promise<Outcome>;
  /** Executes a job command: submit, show or cancel. */
  readonly runJobCommand: (command: JobCommand) => Promise<JobView>;
  readonly announce: (announcement: Announcement) => void;
  readonly setPreferences: (
    customer: string,
    choices: Readonly<Record<string, unknown>>,
  ) => Promise<ControlResult>;
}
