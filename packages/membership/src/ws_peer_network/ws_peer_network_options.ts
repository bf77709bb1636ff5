import type {Clock, InstanceId, RandomSource} from '@papayarun/protocol';
import type {PeerAddress} from '../peer_address/peer_address.js';
import type {LinkObserver} from './link_observer.js';

/**
 * Options of the links between instances.
 */
export interface WsPeerNetworkOptions {
  readonly self: InstanceId;
  readonly key: string;
  readonly peers: readonly PeerAddress[];
  /** Whether instances that are not in `peers` may connect to this one. */
  readonly acceptsUnknownPeers?: boolean;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly observer: LinkObserver;
  readonly maxFrameBytes: number;
  /** Unsent bytes above which a link refuses calls and drops one-way messages. */
  readonly maxBufferedBytes: number;
  /**
   * Silence in milliseconds after which the link to a peer is closed and
   * reconnected.
   */
  readonly linkTimeoutMs: (peer: InstanceId) => number;
  /**
   * Monotonic time before which nothing arrived that is still unread, in
   * milliseconds; by default what is read has just arrived.
   */
  readonly readUpToMs?: () => number;
  /** Interval of the checks for silent links, in milliseconds. */
  readonly linkCheckMs: number;
}
