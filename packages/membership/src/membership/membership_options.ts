import type {
  BootId,
  Clock,
  DataCentreId,
  Heartbeat,
  InstanceId,
  PeerNetwork,
} from '@papayarun/protocol';

/**
 * What membership needs.
 */
export interface MembershipOptions {
  readonly self: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly boot: BootId;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly heartbeatMs: number;
  /** Silence after which a peer counts as dead. */
  readonly timeoutMs: number;
  /** This instance's own state. */
  readonly ownState: () => Heartbeat['state'];
  /** Gives the parts of a heartbeat that other components own. */
  readonly describe: () => Omit<Heartbeat, 'boot' | 'dataCentre'>;
  /** Called after each received heartbeat. */
  readonly onHeartbeat: (from: InstanceId, heartbeat: Heartbeat) => void;
  /** Called when a peer comes alive or is lost. */
  readonly onChange: (peer: InstanceId, alive: boolean) => void;
  /** Called when the live instances of this data centre may have changed. */
  readonly onLiveHere: () => void;
  /** Called after this process itself stood still for longer than the timeout. */
  readonly onPause: (pausedMs: number) => void;
}
