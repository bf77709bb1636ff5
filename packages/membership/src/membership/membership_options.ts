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
  /**
   * Number of intervals between two heartbeats to a peer, 1 if not given. Called
   * only for peers of versions that understand slower heartbeats.
   */
  readonly intervalsBetweenHeartbeats?: (heartbeat: Heartbeat) => number;
  /**
   * Silence in milliseconds after which a peer is considered dead if it sends a
   * heartbeat at each interval, in proportion longer if it sends fewer.
   */
  readonly timeoutMs: number;
  /** Returns the state of this instance. */
  readonly ownState: () => Heartbeat['state'];
  /** Returns the heartbeat fields that other components supply. */
  readonly heartbeatFields: () => Omit<
    Heartbeat,
    'boot' | 'dataCentre' | 'intervalMs'
  >;
  /** Called after each received heartbeat. */
  readonly onHeartbeat: (from: InstanceId, heartbeat: Heartbeat) => void;
  /** Called when a peer becomes alive or is considered dead. */
  readonly onChange: (peer: InstanceId, alive: boolean) => void;
  /** Called when the live instances of this data centre may have changed. */
  readonly onLiveInDataCentreChange: () => void;
  /** Called after this process was paused for longer than the timeout. */
  readonly onProcessPaused: (pausedMs: number) => void;
}
