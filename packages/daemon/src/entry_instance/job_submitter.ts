import type {
  InstanceId,
  JobOutcome,
  JobQuote,
  ScheduledJob,
} from '@papayarun/protocol';
import {EMPTY_QUOTE, PeerCallError} from '@papayarun/protocol';
import type {SchedulerGrant} from '@papayarun/releases';
import {splitJob} from '@papayarun/scheduling';
import type {DataCentreScheduler} from './data_centre_scheduler.js';
import type {JobSubmitterOptions} from './job_submitter_options.js';

/**
 * Time beyond the deadline of the caller in which a scheduler may still
 * respond, in milliseconds.
 */
const RESPONSE_GRACE_MS = 100;
/** Delay between attempts while a scheduler takes over, in milliseconds. */
const TAKEOVER_RETRY_DELAY_MS = 20;
/**
 * Longest wait of a new job for a scheduler that takes over, in milliseconds.
 * Covers a leader election and a scheduler grant. A refusal instead of the wait
 * would lose the job of a caller that doesn't retry.
 */
const MAX_TAKEOVER_WAIT_MS = 400;
/**
 * Timeout of a quote from another data centre, in milliseconds. It spans many
 * round trips.
 */
const QUOTE_TIMEOUT_MS = 20;
/**
 * Time after a failed quote request in which the scheduler isn't asked for
 * another quote, in milliseconds.
 */
const QUOTE_FAILURE_BACKOFF_MS = 300;
/** Retry delay sent to callers if no scheduler is reachable, in milliseconds. */
const NO_SCHEDULER_RETRY_MS = 1_000;

const NO_SCHEDULER_REFUSAL: Extract<JobOutcome, {kind: 'refused'}> = {
  kind: 'refused',
  reason: 'notScheduler',
  retryAfterMs: NO_SCHEDULER_RETRY_MS,
  quote: EMPTY_QUOTE,
};
const SCHEDULER_LOST_FAILURE = {
  kind: 'failed',
  reason: 'schedulerLost',
} as const;

/**
 * Submits jobs to schedulers, and shares a job out over data centres when the
 * local scheduler refuses it or would make it wait.
 */
export class JobSubmitter {
  /** Monotonic time until which a scheduler isn't asked for another quote. */
  private readonly quoteBackoffUntilMs = new Map<InstanceId, number>();

  private constructor(private readonly opts: JobSubmitterOptions) {}

  /**
   * Creates a job submitter.
   *
   * @param opts - Scheduler finder, network and the scheduler of this instance.
   * @returns The submitter.
   * @example
   * const submitter = JobSubmitter.create(opts);
   */
  static create(opts: JobSubmitterOptions): JobSubmitter {
    return new JobSubmitter(opts);
  }

  /**
   * Runs a job on the scheduler of this data centre, or shares it out over all
   * reachable schedulers if the local one refuses it.
   *
   * @param job - The job.
   * @param signal - Aborts when the caller disconnects.
   * @returns The outcome; only a refusal guarantees that no task has run.
   */
  async submit(job: ScheduledJob, signal: AbortSignal): Promise<JobOutcome> {
    const {clock, finder} = this.opts;
    const startedMs = clock.now();
    let schedulers = finder.reachable();
    let refusal = NO_SCHEDULER_REFUSAL;
    for (;;) {
      const localScheduler = finder.localSchedulerIn(schedulers);
      if (localScheduler) {
        const currentJob = this.withElapsedTime(job, startedMs);
        const outcome = await this.submitWithHandover(
          localScheduler,
          currentJob,
          signal,
        );
        if (outcome.kind !== 'refused') {
          return outcome;
        }
        refusal = outcome;
        if (outcome.reason === 'notScheduler') {
          // The grant has changed, but the change isn't applied here yet.
          finder.recordGrantChange();
        }
      }
      const waitedMs = clock.now() - startedMs;
      if (
        !finder.isTakeoverRefusal(refusal.reason) ||
        waitedMs > MAX_TAKEOVER_WAIT_MS
      ) {
        break;
      }
      await clock.sleep(TAKEOVER_RETRY_DELAY_MS, signal);
      schedulers = finder.reachable();
    }
    const localScheduler = finder.localSchedulerIn(schedulers);
    const remoteSchedulers = schedulers.filter(
      scheduler => scheduler !== localScheduler,
    );
    const currentJob = this.withElapsedTime(job, startedMs);
    const quotes = [
      ...(localScheduler ? [refusal.quote] : []),
      ...(await Promise.all(
        remoteSchedulers.map(scheduler =>
          this.requestQuote(scheduler, currentJob),
        ),
      )),
    ];
    const parts = splitJob(this.withElapsedTime(job, startedMs), quotes);
    return parts && !signal.aborted
      ? this.submitParts(
          localScheduler
            ? [localScheduler, ...remoteSchedulers]
            : remoteSchedulers,
          parts,
          quotes,
          signal,
        )
      : refusal;
  }

  private async submitTo(
    grant: SchedulerGrant,
    job: ScheduledJob,
    signal: AbortSignal,
  ): Promise<JobOutcome> {
    const {instanceId} = grant;
    const {network, self} = this.opts;
    if (instanceId === self) {
      const cancel = (): void => this.opts.cancel(job.id);
      signal.addEventListener('abort', cancel, {once: true});
      const outcome = await this.opts.schedule(job);
      signal.removeEventListener('abort', cancel);
      return outcome;
    }
    const timeoutMs = Math.max(1, job.leftMs) + RESPONSE_GRACE_MS;
    try {
      const opts = {timeoutMs, signal};
      const res = await network.call(instanceId, 'scheduleJob', {job}, opts);
      if (res.outcome.kind === 'completed') {
        // This instance may become the next scheduler.
        res.outcome.samples.forEach(s => this.opts.recordRunTime(job.kind, s));
      }
      return res.outcome;
    } catch (err) {
      if (signal.aborted) {
        network.notify(instanceId, 'cancelJob', {jobId: job.id});
        return {kind: 'failed', reason: 'cancelled'};
      }
      this.opts.log.emit('schedulerLost', {
        jobId: job.id,
        scheduler: instanceId,
        err: (err as Error).message,
      });
      return err instanceof PeerCallError && !err.mayHaveBeenSent
        ? NO_SCHEDULER_REFUSAL
        : SCHEDULER_LOST_FAILURE;
    }
  }

  /** Copies a job with its age and remaining time updated to now. */
  private withElapsedTime(job: ScheduledJob, sinceMs: number): ScheduledJob {
    const spentMs = this.opts.clock.now() - sinceMs;
    return {
      ...job,
      ageMs: job.ageMs + spentMs,
      leftMs: job.leftMs - spentMs,
    };
  }

  /**
   * Asks a scheduler when the tasks of a job would end there; an empty quote if
   * it doesn't respond or recently failed to.
   */
  private async requestQuote(
    scheduler: DataCentreScheduler,
    job: ScheduledJob,
  ): Promise<JobQuote> {
    const {clock, log, network} = this.opts;
    const {instanceId} = scheduler.grant;
    if (clock.now() < (this.quoteBackoffUntilMs.get(instanceId) ?? 0)) {
      return EMPTY_QUOTE;
    }
    const opts = {timeoutMs: QUOTE_TIMEOUT_MS};
    try {
      const res = await network.call(instanceId, 'quoteJob', {job}, opts);
      this.quoteBackoffUntilMs.delete(instanceId);
      return res.quote;
    } catch (err) {
      this.quoteBackoffUntilMs.set(
        instanceId,
        clock.now() + QUOTE_FAILURE_BACKOFF_MS,
      );
      log.emit('noQuote', {
        jobId: job.id,
        scheduler: instanceId,
        err: (err as Error).message,
      });
      return EMPTY_QUOTE;
    }
  }

  /** Runs the parts of a job; a part that doesn't complete aborts the others. */
  private async submitParts(
    schedulers: readonly DataCentreScheduler[],
    parts: ReadonlyArray<ScheduledJob | undefined>,
    quotes: readonly JobQuote[],
    signal: AbortSignal,
  ): Promise<JobOutcome> {
    const partsAbort = new AbortController();
    const cancel = (): void => partsAbort.abort();
    signal.addEventListener('abort', cancel, {once: true});
    this.opts.log.emit('jobSplit', {
      jobId: parts.find(part => part)?.id,
      tasks: parts.map(part => part?.steps[0]?.count ?? 0),
      schedulers: schedulers.map(scheduler => scheduler.grant.instanceId),
      lastEndsMs: quotes.map(({endsMs}) => Math.round(Math.max(0, ...endsMs))),
      limitsMs: quotes.map(({limitMs}) => Math.round(limitMs)),
    });
    const outcomes = await Promise.all(
      schedulers.map(async (scheduler, i) => {
        const part = parts[i];
        if (!part) {
          return undefined;
        }
        const outcome = await this.submitWithHandover(
          scheduler,
          part,
          partsAbort.signal,
        );
        if (outcome.kind !== 'completed') {
          partsAbort.abort();
        }
        return outcome;
      }),
    );
    signal.removeEventListener('abort', cancel);
    const partOutcomes = outcomes.filter(outcome => outcome !== undefined);
    const unsuccessful = partOutcomes.filter(
      outcome => outcome.kind !== 'completed',
    );
    const failed = unsuccessful.find(outcome => outcome.kind === 'failed');
    if (unsuccessful.length === 0) {
      return {kind: 'completed', samples: []};
    }
    return unsuccessful.length === partOutcomes.length && !failed
      ? unsuccessful[0]!
      : (failed ?? {kind: 'failed', reason: 'schedulerLost'});
  }

  /** Runs a job on a scheduler, and on its successors if it hands the job over. */
  private async submitWithHandover(
    scheduler: DataCentreScheduler,
    job: ScheduledJob,
    signal: AbortSignal,
  ): Promise<Exclude<JobOutcome, {kind: 'handedOver'}>> {
    const startedMs = this.opts.clock.now();
    let {grant} = scheduler;
    let placed = job.placed;
    for (;;) {
      const currentJob = {...this.withElapsedTime(job, startedMs), placed};
      const outcome = await this.submitTo(grant, currentJob, signal);
      if (outcome.kind !== 'handedOver') {
        return placed && outcome.kind === 'refused'
          ? SCHEDULER_LOST_FAILURE
          : outcome;
      }
      placed = outcome.placed;
      const successor = await this.opts.finder.waitForSuccessor(
        scheduler.dataCentre,
        grant,
        signal,
      );
      if (!successor) {
        return SCHEDULER_LOST_FAILURE;
      }
      this.opts.log.emit('jobHandedOver', {
        jobId: job.id,
        to: successor.instanceId,
        token: successor.token,
        placed: placed.length,
      });
      grant = successor;
    }
  }
}
