import type {Clock, InstanceId, PeerNetwork} from '@papayarun/protocol';

/**
 * Options of a keep-alive sender.
 */
export interface KeepAliveSenderOptions {
  readonly clock: Clock;
  /** Longest time between two messages to a scheduler, in milliseconds. */
  readonly intervalMs: number;
  /** Waits until what has arrived, such as the leave of a caller, is read. */
  readonly afterReading: () => Promise<void>;
  readonly network: Pick<PeerNetwork, 'notify'> & {
    /** Monotonic time of the last message to a peer, in milliseconds. */
    lastSentMs(peer: InstanceId): number | undefined;
  };
  /** Instances whose schedulers run jobs of this one. */
  readonly schedulers: () => Iterable<InstanceId>;
}
