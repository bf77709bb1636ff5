import type {Clock, InstanceId} from '@papayarun/protocol';

/**
 * Options of a requester monitor.
 */
export interface RequesterMonitorOptions {
  readonly clock: Clock;
  /** Silence after which a requester counts as lost, in milliseconds. */
  readonly maxSilenceMs: number;
  /** Instances that wait for jobs here and send something in between. */
  readonly requesters: () => Iterable<InstanceId>;
  /**
   * Monotonic time at which an instance was last known to run, in milliseconds;
   * undefined without a link to it.
   */
  readonly heardMs: (requester: InstanceId) => number | undefined;
  /** Waits until the messages that have arrived are read. */
  readonly afterReading: () => Promise<void>;
  /** Called when a requester has been silent for too long. */
  readonly onSilent: (requester: InstanceId, silentMs: number) => void;
}
