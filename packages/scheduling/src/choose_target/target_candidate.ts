import type {Resources, TargetId} from '@papayarun/protocol';

/**
 * Target that may run a task, as input for the choice of a target.
 */
export interface TargetCandidate {
  readonly targetId: TargetId;
  readonly free: Resources;
  /** Factor of the run times on this target over those on a usual one. */
  readonly slowness: number;
  /** Whether it is limited to one run at a time after failures. */
  readonly isSuspect: boolean;
  /** Number of runs on the target. */
  readonly runs: number;
}
