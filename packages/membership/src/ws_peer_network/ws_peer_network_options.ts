import type {Clock, InstanceId, RandomSource} from '@papayarun/protocol';
import type {PeerAddress} from '../peer_address/peer_address.js';
import type {LinkObserver} from './link_observer.js';

/**
 * What the links between instances need.
 */
export interface WsPeerNetworkOptions {
  readonly self: InstanceId;
  readonly key: string;
  readonly peers: readonly PeerAddress[];
  /** Whether instances that are not among `peers` may link to this one. */
  readonly isOpen?: boolean;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly observer: LinkObserver;
  readonly maxFrameBytes: number;
  /** Unsent bytes from which a link takes no more calls. */
  readonly maxBufferedBytes: number;
  /** Silence after which a link is closed and dialled again. */
  readonly silenceMs: number;
}
