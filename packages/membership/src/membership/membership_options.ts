import type {
  BootId,
  Clock,
  DataCentreId,
  Heartbeat,
  InstanceId,
  PeerNetwork,
} from '@papayarun/protocol';

/**
 * Options of the membership.
 */
export interface MembershipOptions {
  readonly self: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly boot: BootId;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly heartbeatMs: number;
  /** Silence in milliseconds after which a peer is considered dead. */
  readonly timeoutMs: number;
  /** Returns the state of this instance. */
  readonly ownState: () => Heartbeat['state'];
  /** Returns the heartbeat fields that other components supply. */
  readonly heartbeatFields: () => Omit<Heartbeat, 'boot' | 'dataCentre'>;
  /** Called after each received heartbeat. */
  readonly onHeartbeat: (from: InstanceId, heartbeat: Heartbeat) => void;
  /** Called when a peer becomes alive or is considered dead. */
  readonly onChange: (peer: InstanceId, alive: boolean) => void;
  /** Called when the live instances of this data centre may have changed. */
  readonly onLiveInDataCentreChange: () => void;
  /** Called after this process was paused for longer than the timeout. */
  readonly onProcessPaused: (pausedMs: number) => void;
}
