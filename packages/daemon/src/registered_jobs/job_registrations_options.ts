import type {
  Clock,
  EventLog,
  InstanceId,
  PeerNetwork,
} from '@papayarun/protocol';

/**
 * Options of the registrations of jobs.
 */
export interface JobRegistrationsOptions {
  /** Name of this process, as its submissions have it. */
  readonly process: string;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly network: Pick<PeerNetwork, 'call' | 'notify'>;
  /** Linked state instances that are alive and register jobs. */
  readonly registrars: () => readonly InstanceId[];
  /**
   * Time after the loss of this instance, or of its scheduler, by which the runs of
   * its jobs have ended, in milliseconds.
   */
  readonly runsEndAfterLossMs: number;
}
