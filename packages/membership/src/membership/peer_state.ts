import type {Heartbeat, InstanceId} from '@papayarun/protocol';

/**
 * What is known of a peer from its heartbeats.
 */
export interface PeerState {
  readonly instanceId: InstanceId;
  readonly heartbeat: Heartbeat;
  /** Monotonic time of the last heartbeat, in milliseconds. */
  readonly heardMs: number;
}
