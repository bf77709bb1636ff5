import type {Resources, TargetId} from '@papayarun/protocol';

/**
 * A target as the choice of a place sees it.
 */
export interface TargetCandidate {
  readonly targetId: TargetId;
  readonly free: Resources;
  /** Run times there over those on a usual target; 1 is usual. */
  readonly slowness: number;
  /** Whether it is on trial after failures. */
  readonly isSuspect: boolean;
  /** Runs there now. */
  readonly runs: number;
}
