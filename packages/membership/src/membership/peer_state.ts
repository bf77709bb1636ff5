import type {Heartbeat, InstanceId} from '@papayarun/protocol';

/**
 * State of a peer by its last heartbeat.
 */
export interface PeerState {
  readonly instanceId: InstanceId;
  readonly heartbeat: Heartbeat;
  /**
   * Monotonic time of the last heartbeat, in milliseconds; reset to the end of
   * a pause of this process.
   */
  readonly lastHeardMs: number;
  /** Whether its process is known to have ended since. */
  readonly hasEnded: boolean;
}
