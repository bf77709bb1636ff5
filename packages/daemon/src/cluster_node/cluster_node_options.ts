import type {
  Clock,
  EventLog,
  Heartbeat,
  KnownInstance,
  RandomSource,
} from '@papayarun/protocol';
import type {ControlState, ControlStore} from '@papayarun/releases';
import type {Metrics} from '../metrics/metrics.js';
import type {NodeSettings} from './node_settings.js';

/**
 * Options of a cluster node.
 */
export interface ClusterNodeOptions {
  readonly cfg: NodeSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly store: ControlStore;
  readonly state: () => Heartbeat['state'];
  /** Number of targets that the instance can schedule. */
  readonly maxTargets: number;
  /**
   * Interval at which the instance takes notices of jobs in flight, in
   * milliseconds; absent if it doesn't.
   */
  readonly inFlightIntervalMs?: () => number;
  /** Whether the instance registers jobs. */
  readonly registersJobs?: boolean;
  /** Whether this instance keeps a link to a peer. */
  readonly shouldLink: (peer: KnownInstance, state: ControlState) => boolean;
  /** Called when the link to a peer is new, before anything is received by it. */
  readonly onLinkUp?: (peer: KnownInstance['instanceId']) => void;
  /**
   * Called when the link to a peer is lost, or a newer one has replaced it and
   * nothing has been received by that yet.
   */
  readonly onLinkDown: (peer: KnownInstance['instanceId']) => void;
  /**
   * Called after this process was paused for longer than the peer timeout and
   * took a new boot id.
   */
  readonly onIncarnationChanged: () => void;
}
