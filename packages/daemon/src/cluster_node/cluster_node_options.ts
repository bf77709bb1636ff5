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
 * What the common parts of an instance need.
 */
export interface ClusterNodeOptions {
  readonly cfg: NodeSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly store: ControlStore;
  readonly state: () => Heartbeat['state'];
  readonly wants: (known: KnownInstance, state: ControlState) => boolean;
  /** Called when a peer's link was lost. */
  readonly onLinkDown: (peer: KnownInstance['instanceId']) => void;
  /** Called after this process stood still and took a new incarnation. */
  readonly onRenewed: () => void;
}
