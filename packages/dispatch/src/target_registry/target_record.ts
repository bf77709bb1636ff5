import type {Announcement, Resources, TargetId} from '@papayarun/protocol';
import type {TargetHealth} from '../target_health/target_health.js';

/**
 * State of a target or worker at this instance.
 */
export interface TargetRecord {
  readonly id: TargetId;
  announcement: Announcement;
  /** Monotonic time of the last accepted announcement, in milliseconds. */
  lastAnnouncedMs: number;
  /** Whether this instance is the current keeper of the target. */
  kept: boolean;
  /** Monotonic time at which the handover to another keeper began, in milliseconds. */
  handoverStartedMs: number | undefined;
  health: TargetHealth;
  /** Requests sent by this instance that have not ended. */
  inFlight: number;
  /** Resources of the tasks placed by this instance that have not ended. */
  placed: Resources;
  /** Monotonic time until which a busy target gets no work, in milliseconds. */
  busyUntilMs: number;
  /** Earlier boots of the target, whose late announcements are ignored as stale. */
  pastBoots: readonly string[];
}
