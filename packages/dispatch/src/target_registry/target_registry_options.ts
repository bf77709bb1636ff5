import type {Announcement, Clock, InstanceId} from '@papayarun/protocol';

/**
 * Dependencies and settings of a target registry.
 */
export interface TargetRegistryOptions {
  readonly self: InstanceId;
  readonly clock: Clock;
  /** Time without an announcement after which a target expires, in milliseconds. */
  readonly timeoutMs: number;
  /** Time for which the former keeper continues after a handover, in milliseconds. */
  readonly handoverMs: number;
  /** Live instances of this data centre that accept work. */
  readonly liveInstances: () => readonly InstanceId[];
  /** Whether this instance is draining before it shuts down. */
  readonly isDraining: () => boolean;
  /** Sends an announcement to the new keeper of its target. */
  readonly forwardAnnouncement: (
    keeper: InstanceId,
    announcement: Announcement,
  ) => void;
}
