import type {InFlightJob, InstanceId} from '@papayarun/protocol';
import {checkDuration} from './check_duration.js';
import {checkInFlightJobs} from './check_in_flight_jobs.js';
import {HeldJobs} from './held_jobs.js';
import {inFlightIntervalMs} from './in_flight_interval_ms.js';
import {InFlightTable} from './in_flight_table.js';
import type {InterruptedJobRelayOptions} from './interrupted_job_relay_options.js';
import {InterruptionSender} from './interruption_sender.js';

/**
 * Part of a state instance in the record of interrupted jobs.
 *
 * @description Passes the notices of interrupted jobs on to the entry instances,
 * of which not all are linked to each other, or were when a job was interrupted.
 * Keeps the jobs in flight of those that name them to it, which may all be lost at
 * once.
 */
export class InterruptedJobRelay {
  private readonly inFlight: InFlightTable;
  /** Time after the loss of an instance by which its runs have ended, in ms. */
  private readonly runsEndAfterMs = new Map<InstanceId, number>();
  /** Interruptions, for entry instances that are linked later. */
  private readonly held: HeldJobs;
  private readonly notices: InterruptionSender;

  private constructor(private readonly opts: InterruptedJobRelayOptions) {
    const {clock, entries, network} = opts;
    this.inFlight = InFlightTable.create(clock);
    this.held = HeldJobs.create(clock);
    this.notices = InterruptionSender.create(
      clock,
      () => [...entries().keys()],
      (peer, notice) => network.notify(peer, 'interruptedJobs', notice),
    );
    network.onNotice('jobsInFlight', (from, {jobs, runsEndAfterMs}) => {
      this.inFlight.add(from, checkInFlightJobs(jobs));
      this.runsEndAfterMs.set(from, checkDuration(runsEndAfterMs) ?? Infinity);
    });
    network.onNotice('interruptedJobs', (_from, {jobs, othersForMs}) =>
      this.tellEntries(
        checkInFlightJobs(jobs),
        checkDuration(othersForMs) ?? 0,
      ),
    );
  }

  /**
   * Creates a relay and serves the notices.
   *
   * @param opts - Clock, network and linked entry instances.
   * @returns The relay.
   * @example
   * const relay = InterruptedJobRelay.create(opts);
   */
  static create(opts: InterruptedJobRelayOptions): InterruptedJobRelay {
    return new InterruptedJobRelay(opts);
  }

  /**
   * Interval at which it takes notices of jobs in flight from each entry instance,
   * in milliseconds.
   */
  get inFlightIntervalMs(): number {
    return inFlightIntervalMs(this.inFlight.instances);
  }

  /**
   * Tells an instance of the interruptions whose runs may still go on.
   *
   * @param instance - Instance whose link is new.
   */
  recordLink(instance: InstanceId): void {
    const jobs = this.held.interrupted();
    const othersForMs = this.held.allForMs;
    if (jobs.length > 0 || othersForMs > 0) {
      const notice = {jobs, othersForMs};
      this.opts.network.notify(instance, 'interruptedJobs', notice);
    }
  }

  /**
   * Tells the entry instances that one is lost, or the link to it, if runs of its
   * jobs may go on.
   *
   * @param instance - The lost instance.
   */
  recordLoss(instance: InstanceId): void {
    const endAfterMs = this.runsEndAfterMs.get(instance) ?? Infinity;
    this.runsEndAfterMs.delete(instance);
    const othersForMs = Math.min(
      this.inFlight.droppedForMs(instance),
      endAfterMs,
    );
    const jobs = this.inFlight
      .take(instance)
      .map(job => ({...job, forMs: Math.min(job.forMs, endAfterMs)}));
    if (jobs.length > 0 || othersForMs > 0) {
      this.opts.log.emit('jobsInterrupted', {
        peer: instance,
        jobs: jobs.length,
      });
      this.tellEntries(jobs, othersForMs);
    }
  }

  private tellEntries(jobs: readonly InFlightJob[], othersForMs: number): void {
    jobs.forEach(job => this.held.record(job));
    this.notices.add(jobs);
    if (othersForMs > 0) {
      this.held.recordOthers(othersForMs);
      this.notices.addOthers(othersForMs);
    }
  }
}
