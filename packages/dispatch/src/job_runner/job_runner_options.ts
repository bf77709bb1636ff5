import type {
  Clock,
  EventLog,
  InstanceDigest,
  Outcome,
  Work,
} from '@papayarun/protocol';

/**
 * What a job runner needs.
 */
export interface JobRunnerOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly digest: () => InstanceDigest;
  readonly release: () => number;
  /** Runs one task on some worker. */
  readonly route: (work: Work, signal: AbortSignal) => Promise<Outcome>;
}
