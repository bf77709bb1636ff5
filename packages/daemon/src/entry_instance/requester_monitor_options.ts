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
   * Monotonic time of the last message of an instance, in milliseconds;
   * undefined without a link to it.
   */
  readonly lastHeardMs: (requester: InstanceId) => number | undefined;
  /** Called when a requester has been silent for too long. */
  readonly onSilent: (requester: InstanceId, silentMs: number) => void;
}
