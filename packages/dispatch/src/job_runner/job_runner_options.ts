import type {
  Clock,
  EventLog,
  InstanceDigest,
  Outcome,
  Work,
} from '@papayarun/protocol';

/**
 * Dependencies of a job runner.
 */
export interface JobRunnerOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  /** Capacity of this instance and of its data centre. */
  readonly digest: () => InstanceDigest;
  /** Number of the release in force. */
  readonly release: () => number;
  /** Runs one task on a worker. */
  readonly route: (work: Work, signal: AbortSignal) => Promise<Outcome>;
}
