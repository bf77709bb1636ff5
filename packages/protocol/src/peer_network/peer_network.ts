import type {InstanceId} from '../ids/instance_id.js';
import type {PeerCalls} from '../messages/peer_calls.js';
import type {PeerNotices} from '../messages/peer_notices.js';

/**
 * Connections to the other instances.
 */
export interface PeerNetwork {
  readonly self: InstanceId;
  /**
   * Calls a peer.
   *
   * @throws PeerCallError when no response is received.
   */
  call<K extends keyof PeerCalls>(
    to: InstanceId,
    type: K,
    req: PeerCalls[K]['req'],
    opts: {readonly timeoutMs: number; readonly signal?: AbortSignal},
  ): Promise<PeerCalls[K]['res']>;
  /** Sends a one-way message; drops it if the peer is not connected. */
  notify<K extends keyof PeerNotices>(
    to: InstanceId,
    type: K,
    notice: PeerNotices[K],
  ): void;
  /** Registers the handler of a call type. */
  onCall<K extends keyof PeerCalls>(
    type: K,
    handler: (
      from: InstanceId,
      req: PeerCalls[K]['req'],
    ) => Promise<PeerCalls[K]['res']>,
  ): void;
  /** Registers the handler of a notice type. */
  onNotice<K extends keyof PeerNotices>(
    type: K,
    handler: (from: InstanceId, notice: PeerNotices[K]) => void,
  ): void;
  /** Returns the peers that are currently connected. */
  connectedPeers(): InstanceId[];
}
