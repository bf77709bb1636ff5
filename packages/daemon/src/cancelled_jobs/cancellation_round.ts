import type {JobId} from '@papayarun/protocol';

/**
 * Result of telling all instances of cancelled jobs.
 */
export interface CancellationRound {
  /** Whether all entry instances that may run have confirmed. */
  readonly isConfirmed: boolean;
  /** Jobs of the round that were in progress. */
  readonly found: ReadonlySet<JobId>;
}
