import type {Clock, InstanceId, PeerNetwork} from '@papayarun/protocol';

/**
 * Options of a relay of cancellations.
 */
export interface CancellationRelayOptions {
  readonly clock: Clock;
  readonly network: Pick<
    PeerNetwork,
    'call' | 'notify' | 'onCall' | 'onNotice'
  >;
  /** Entry instances that were heard within a time and may run. */
  readonly entries: (heardWithinMs: number) => readonly InstanceId[];
}
