import type {Clock, JobId, TaskId} from '@papayarun/protocol';
import {MAX_CLOCK_DRIFT} from '../_lib/max_clock_drift.js';
import type {RunRecord} from '../_lib/run_record.js';
import {MIN_LEASE_SHARE} from '../run_permission/min_lease_share.js';
import type {SchedulerTiming} from '../scheduler/scheduler_timing.js';
import {TargetClock} from '../target_clock/target_clock.js';

/**
 * Extra time before runs under an expired lease count as ended, in
 * milliseconds.
 */
const LEASE_SLACK_MS = 20;

/**
 * Largest error of a target's clock under which runs are ordered, as a share of
 * the longest lease. A lease is that much shorter, and still has to last over a
 * hold that waits.
 */
const MAX_CLOCK_ERROR_SHARE = 0.3;

/** Services that the lease of a target needs. */
interface LeaseHost {
  readonly clock: Pick<Clock, 'now'>;
  readonly timing: SchedulerTiming;
  permissionEndMs(jobId: JobId): number;
}

/**
 * Lease of the runs on a target: how long those that wait for the runs permit
 * it, and when all leases that were granted have expired.
 */
export class TargetLease {
  private readonly clock = TargetClock.create();
  /** Monotonic time by which every lease granted to the target has expired. */
  private grantedUntilMs = 0;

  private constructor(
    private readonly host: LeaseHost,
    private readonly runs: ReadonlyMap<TaskId, RunRecord>,
  ) {}

  /**
   * Creates the record of a target that has got no lease.
   *
   * @param host - Clock, timing, and what is known of those that wait for jobs.
   * @param runs - Runs that are ordered on the target.
   * @returns The record.
   * @example
   * const lease = TargetLease.create(host, runs);
   */
  static create(
    host: LeaseHost,
    runs: ReadonlyMap<TaskId, RunRecord>,
  ): TargetLease {
    return new TargetLease(host, runs);
  }

  /**
   * Whether a lease has to end soon, since nobody who waits for one of the runs
   * has been heard for a while.
   */
  get isShort(): boolean {
    const {clock, timing} = this.host;
    const limitMs = clock.now() + MIN_LEASE_SHARE * timing.maxLeaseMs;
    // What was known at the last renewal is enough most of the time.
    for (const {permittedUntilMs} of this.runs.values()) {
      if (permittedUntilMs < limitMs) {
        return this.limitMs() < limitMs;
      }
    }
    return false;
  }

  /** Whether there was a reading of the target's clock. */
  get isClockKnown(): boolean {
    return this.clock.isKnown;
  }

  /** Whether a lease that is granted now is about as long as it may be. */
  get isClockAccurate(): boolean {
    const {clock, timing} = this.host;
    const maxErrorMs = MAX_CLOCK_ERROR_SHARE * timing.maxLeaseMs;
    return this.clock.maxErrorMs(clock.now()) <= maxErrorMs;
  }

  /** Monotonic time by which every lease granted to the target has expired. */
  get expiredByMs(): number {
    return this.grantedUntilMs;
  }

  /**
   * Monotonic time by which all runs have ended even if the target does not
   * answer: its lease has expired and it has had time to stop them.
   */
  get latestRunEndMs(): number {
    return this.grantedUntilMs + this.host.timing.stopMs + LEASE_SLACK_MS;
  }

  /**
   * End of a lease that is granted now, on the target's clock, in milliseconds. A
   * lease is that of all runs on the target.
   *
   * @param limitMs - Monotonic time by which it has to end.
   */
  newEndMs(limitMs = this.limitMs()): number {
    const leaseEndMs =
      this.clock.at(this.host.clock.now()) + this.host.timing.maxLeaseMs;
    return limitMs === Infinity
      ? leaseEndMs
      : Math.min(leaseEndMs, this.clock.at(limitMs));
  }

  /**
   * End of the lease that a hold carries, on the target's clock, in
   * milliseconds. A run that was given up gets no more than a whole lease from
   * then on.
   *
   * @param abandonedMs - Monotonic time at which the first of the runs was given
   *   up; undefined if none was.
   */
  renewedEndMs(abandonedMs: number | undefined): number {
    const leaseEndMs = this.newEndMs();
    return abandonedMs === undefined
      ? leaseEndMs
      : Math.min(
          leaseEndMs,
          this.clock.at(abandonedMs) + this.host.timing.maxLeaseMs,
        );
  }

  /** Time until a lease ends, in milliseconds. */
  leftMs(leaseEndMs: number): number {
    return leaseEndMs - this.clock.at(this.host.clock.now());
  }

  /** Extends the time by which all leases of the target have expired. */
  record(leaseEndMs: number): void {
    this.grantedUntilMs = Math.max(
      this.grantedUntilMs,
      this.clock.latestLocalTimeOf(leaseEndMs),
    );
  }

  /**
   * Takes back the record of a lease that was certainly not received, unless
   * another one has been recorded since.
   *
   * @param recordedMs - Value of `expiredByMs` after the lease was recorded.
   * @param previousMs - Its value before.
   */
  takeBack(recordedMs: number, previousMs: number): void {
    if (this.grantedUntilMs === recordedMs) {
      this.grantedUntilMs = previousMs;
    }
  }

  /** Records a reading of the target's clock. */
  recordReading(clockMs: number, sentMs: number): void {
    const nowMs = this.host.clock.now();
    if (this.clock.isContradictedBy(clockMs, sentMs, nowMs)) {
      this.clock.reset();
    }
    this.clock.addReading(clockMs, sentMs, nowMs);
  }

  /** Whether the time in an answer can't be of the clock known so far. */
  isContradictedBy(clockMs: number, sentMs: number): boolean {
    return this.clock.isContradictedBy(clockMs, sentMs, this.host.clock.now());
  }

  /** Drops the readings, since the target's clock has started anew. */
  resetClock(): void {
    this.clock.reset();
  }

  /** Assumes that a new incarnation has taken a whole lease from the last order. */
  assumeWholeLease(): void {
    const {clock, timing} = this.host;
    this.grantedUntilMs =
      clock.now() + timing.maxLeaseMs / (1 - MAX_CLOCK_DRIFT);
  }

  /**
   * Monotonic time by which the lease of the runs has to end, in milliseconds;
   * infinite if nothing limits it.
   */
  limitMs(): number {
    let limitMs = Infinity;
    // Most of the runs are of few jobs, those of each in a row.
    let jobId: JobId | undefined;
    let endMs = 0;
    for (const run of this.runs.values()) {
      if (run.abandonedMs === undefined) {
        if (run.job.id !== jobId) {
          jobId = run.job.id;
          endMs = this.host.permissionEndMs(jobId);
        }
        run.permittedUntilMs = Math.max(run.permittedUntilMs, endMs);
      }
      limitMs = Math.min(limitMs, run.permittedUntilMs);
    }
    return limitMs;
  }
}
