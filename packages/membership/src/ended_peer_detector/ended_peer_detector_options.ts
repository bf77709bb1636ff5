import type {Clock, InstanceId} from '@papayarun/protocol';
import type {ProbeResult} from '../probe_address/probe_result.js';

/**
 * Options of the detector of ended peers.
 */
export interface EndedPeerDetectorOptions {
  readonly clock: Clock;
  /** Attempts to connect to the address that a peer listens on. */
  readonly probe: (peer: InstanceId) => Promise<ProbeResult>;
  /** Whether a peer counts as alive, but there is no link to it. */
  readonly isMissing: (peer: InstanceId) => boolean;
  /** Called after a check, with the results of its probes. */
  readonly onChecked: (
    peer: InstanceId,
    hasEnded: boolean,
    probes: readonly ProbeResult[],
  ) => void;
}
