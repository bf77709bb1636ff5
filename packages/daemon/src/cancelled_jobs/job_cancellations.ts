import type {
  CancelJobsCall,
  CancelledJob,
  InstanceId,
  JobId,
  JobOutcome,
  ScheduledJob,
} from '@papayarun/protocol';
import {CancelledJobTable} from './cancelled_job_table.js';
import type {CancellationResult} from './cancellation_result.js';
import type {CancellationRound} from './cancellation_round.js';
import {checkCancelledJobs} from './check_cancelled_jobs.js';
import {cancelledOutcome} from './cancelled_outcome.js';
import type {JobCancellationsOptions} from './job_cancellations_options.js';
import {joinAnswers} from './join_answers.js';
import {RoundBatcher} from './round_batcher.js';
import {tellMissedJobs} from './tell_missed_jobs.js';

/** Time for which a copy of a cancelled job is refused, in milliseconds. */
const KEPT_MS = 120_000;
/**
 * Longest wait for the confirmations, in milliseconds; longer than an instance is
 * silent until it no longer counts as one that may run.
 */
const MAX_WAIT_MS = 3_500;
/** Time before the caller's deadline at which it is answered, in milliseconds. */
const ANSWER_MARGIN_MS = 20;
/** Interval at which a cancellation is told again, in milliseconds. */
const RETRY_INTERVAL_MS = 200;
/** Timeout of a state instance that tells the entry instances, in milliseconds. */
const RELAY_TIMEOUT_MS = 500;
const ROUND_DELAY_MS = 2;
const ROUND_INTERVAL_MS = 50;
/** Most cancellations that wait for a round; more are refused. */
const MAX_WAITING = 1_024;

/**
 * Cancellations of jobs by their callers, at an entry instance.
 *
 * @description The job may be in progress at any entry instance, or a copy of it
 * may arrive at any of them later. A cancellation is told to all of them by way of
 * the state instances, which all entry instances are linked to, and remembered by
 * all; those with a new link tell each other what they may have missed.
 */
export class JobCancellations {
  private readonly table: CancelledJobTable;
  private readonly rounds: RoundBatcher<CancelledJob, CancellationRound>;
  /** Requests in progress by job; aborted when the job is cancelled. */
  private readonly requests = new Map<JobId, Set<AbortController>>();

  private constructor(private readonly opts: JobCancellationsOptions) {
    const {clock, network} = opts;
    this.table = CancelledJobTable.create(clock);
    this.rounds = RoundBatcher.create(clock, {
      delayMs: ROUND_DELAY_MS,
      intervalMs: () => ROUND_INTERVAL_MS,
      send: jobs => this.tellAll(jobs),
    });
    network.onCall('cancelJobs', (_from, {jobs}) =>
      Promise.resolve(this.accept(checkCancelledJobs(jobs))),
    );
    network.onNotice(
      'cancelledJobs',
      (_from, {jobs}) => void this.accept(checkCancelledJobs(jobs)),
    );
  }

  /**
   * Creates the cancellations and serves those of other instances.
   *
   * @param opts - Clock, network, and what ends a job here.
   * @returns The cancellations, none so far.
   * @example
   * const cancellations = JobCancellations.create(opts);
   */
  static create(opts: JobCancellationsOptions): JobCancellations {
    return new JobCancellations(opts);
  }

  /** Number of cancelled jobs that are remembered. */
  get size(): number {
    return this.table.size;
  }

  /** Whether a job was cancelled and must not start. */
  has(jobId: JobId): boolean {
    return this.table.has(jobId);
  }

  /**
   * Runs the request of a caller, unless its job is cancelled. A cancellation
   * answers it at once; the submission ends in the background.
   *
   * @param job - The job.
   * @param signal - Aborts when the caller disconnects.
   * @param submit - Submits the job; its signal aborts for either reason.
   * @returns The outcome.
   */
  async run(
    job: ScheduledJob,
    signal: AbortSignal,
    submit: (job: ScheduledJob, signal: AbortSignal) => Promise<JobOutcome>,
  ): Promise<JobOutcome> {
    if (this.has(job.id)) {
      return cancelledOutcome(job);
    }
    const cancel = new AbortController();
    const requests = this.requests.get(job.id) ?? new Set();
    this.requests.set(job.id, requests.add(cancel));
    const cancelled = new Promise<JobOutcome>(resolve => {
      const answer = (): void => resolve(cancelledOutcome(job));
      cancel.signal.addEventListener('abort', answer, {once: true});
    });
    const both = AbortSignal.any([signal, cancel.signal]);
    const submitted = submit(job, both).finally(() => {
      requests.delete(cancel);
      if (requests.size === 0 && this.requests.get(job.id) === requests) {
        this.requests.delete(job.id);
      }
    });
    return Promise.race([cancelled, submitted]);
  }

  /**
   * Cancels a job at all instances.
   *
   * @param jobId - The job.
   * @param leftMs - Time for which the caller waits, in milliseconds.
   * @returns Whether all instances that may run have confirmed in time, and
   *   whether one of them had the job in progress.
   */
  async cancel(
    jobId: JobId,
    leftMs: number = Infinity,
  ): Promise<CancellationResult> {
    const {clock, log} = this.opts;
    const waitMs = Math.min(MAX_WAIT_MS, leftMs - ANSWER_MARGIN_MS);
    const endMs = clock.now() + waitMs;
    const own = this.accept([{jobId, forMs: KEPT_MS}]);
    const settled = new AbortController();
    const round = own.accepted
      ? await Promise.race([
          this.tellUntilConfirmed(jobId, endMs),
          clock.sleep(waitMs, settled.signal).then(() => undefined),
        ])
      : undefined;
    settled.abort();
    const isInProgress = own.found.length > 0 || round?.found.has(jobId);
    const result = resultOf(round?.isConfirmed === true, isInProgress === true);
    log.emit('jobCancelled', {jobId, result});
    return result;
  }

  /** Tells an instance with a new link of all cancelled jobs. */
  tellMissed(peer: InstanceId): void {
    tellMissedJobs(this.opts.network, peer, this.table.list());
  }

  /** Tells all instances of a cancellation until they confirm it in one round. */
  private async tellUntilConfirmed(
    jobId: JobId,
    endMs: number,
  ): Promise<CancellationRound | undefined> {
    const {clock} = this.opts;
    const found = new Set<JobId>();
    while (clock.now() < endMs && this.rounds.waiting < MAX_WAITING) {
      const round = await this.rounds.add([{jobId, forMs: KEPT_MS}]);
      round.found.forEach(id => found.add(id));
      if (round.isConfirmed) {
        return {isConfirmed: true, found};
      }
      await clock.sleep(RETRY_INTERVAL_MS);
    }
    return undefined;
  }

  private async tellAll(
    jobs: readonly CancelledJob[],
  ): Promise<CancellationRound> {
    const relays = this.opts.stateInstances();
    return joinAnswers(
      await Promise.all(relays.map(relay => this.tell(relay, jobs))),
    );
  }

  private async tell(
    relay: InstanceId,
    jobs: readonly CancelledJob[],
  ): Promise<CancelJobsCall['res'] | undefined> {
    const opts = {timeoutMs: RELAY_TIMEOUT_MS};
    try {
      return await this.opts.network.call(relay, 'cancelJobs', {jobs}, opts);
    } catch {
      return undefined;
    }
  }

  /** Records cancelled jobs, and ends those that are in progress here. */
  private accept(jobs: readonly CancelledJob[]): CancelJobsCall['res'] {
    const found = new Set(
      jobs.map(({jobId}) => jobId).filter(jobId => this.requests.has(jobId)),
    );
    const added = this.table.add(jobs);
    for (const jobId of added ?? []) {
      this.requests.get(jobId)?.forEach(request => request.abort());
      if (this.opts.endJob(jobId)) {
        found.add(jobId);
      }
    }
    return {
      accepted: added !== undefined,
      found: [...found],
      confirmed: [],
      unconfirmed: [],
    };
  }
}

function resultOf(
  isConfirmed: boolean,
  isInProgress: boolean,
): CancellationResult {
  if (!isConfirmed) {
    return 'unconfirmed';
  }
  return isInProgress ? 'cancelled' : 'notFound';
}
