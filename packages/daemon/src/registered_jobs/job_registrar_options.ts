import type {Clock, PeerNetwork} from '@papayarun/protocol';

/**
 * Options of a registrar of jobs.
 */
export interface JobRegistrarOptions {
  readonly clock: Clock;
  readonly network: Pick<PeerNetwork, 'onCall' | 'onNotice'>;
}
