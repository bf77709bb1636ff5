import type {Announcement, Resources, TargetId} from '@papayarun/protocol';
import type {TargetHealth} from '../target_health/target_health.js';

/**
 * A target or worker as this instance knows it.
 */
export interface TargetRecord {
  readonly id: TargetId;
  announcement: Announcement;
  /** Monotonic time of the last accepted announcement, in milliseconds. */
  heardMs: number;
  /** Whether this instance is its keeper now. */
  kept: boolean;
  /** Monotonic time it was handed to another keeper, in milliseconds. */
  handoverMs: number | undefined;
  health: TargetHealth;
  /** Requests sent by this instance and not yet ended. */
  inFlight: number;
  /** Resources of tasks placed by this instance and not yet ended. */
  placed: Resources;
  /** Monotonic time until which it said that it is full, in milliseconds. */
  busyUntilMs: number;
  /** Earlier boots; late announcements of theirs are stale. */
  readonly pastBoots: string[];
}
