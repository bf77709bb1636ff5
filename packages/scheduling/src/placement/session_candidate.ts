import type {Resources, TargetId} from '@papayarun/protocol';
import type {PlacedRun} from '../_lib/placed_run.js';
import type {TargetSession} from '../_lib/target_session.js';
import type {Reservation} from '../reservation/reservation.js';

/** Target session as a candidate for a task. */
export interface SessionCandidate {
  readonly session: TargetSession<PlacedRun>;
  readonly targetId: TargetId;
  free: Resources;
  readonly slowness: number;
  readonly isSuspect: boolean;
  runs: number;
  /**
   * Monotonic time by which the lease of its runs has to end; undefined until a
   * task is placed on it.
   */
  leaseLimitMs: number | undefined;
  /** Whether it is kept for a task that has to run alone. */
  isExclusive: boolean;
  /** Use by a task that waits; undefined if there is none. */
  reservation: Reservation | undefined;
}
