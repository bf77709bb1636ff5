import type {Announcement, Clock, InstanceId} from '@papayarun/protocol';

/**
 * What a registry of targets needs.
 */
export interface TargetRegistryOptions {
  readonly self: InstanceId;
  readonly clock: Clock;
  /** Silence after which a target expires. */
  readonly timeoutMs: number;
  /** Time for which a former keeper goes on after the handover. */
  readonly handoverMs: number;
  /** Live instances of this data centre that take work. */
  readonly live: () => readonly InstanceId[];
  /** Whether this instance is about to end. */
  readonly isDraining: () => boolean;
  /** Passes an announcement on to its new keeper. */
  readonly sendTo: (keeper: InstanceId, announcement: Announcement) => void;
}
