import type {
  InstanceId,
  JobOutcome,
  JobQuote,
  ScheduledJob,
} from '@papayarun/protocol';
import {NO_QUOTE, PeerCallError} from '@papayarun/protocol';
import type {SchedulerGrant} from '@papayarun/releases';
import {shareOut} from '@papayarun/scheduling';
import type {Holder} from './holder.js';
import type {JobSubmitterOptions} from './job_submitter_options.js';

/** Time beyond the caller's deadline for a scheduler's answer, in ms. */
const ANSWER_SLACK_MS = 100;
/** Pause between tries while a scheduler takes over, in milliseconds. */
const TAKEOVER_POLL_MS = 20;
/**
 * Longest wait of a new job for such a scheduler, in milliseconds: an election
 * and a grant. Callers that don't try again would lose the job by a refusal.
 */
const TAKEOVER_WAIT_MS = 400;
/** Longest wait for another data centre's quote, in ms: many round trips. */
const QUOTE_TIMEOUT_MS = 20;
/** Time for which a scheduler that gave no quote isn't asked again, in ms. */
const NO_QUOTE_PAUSE_MS = 300;
/** When a caller may come back if no scheduler can be reached, in ms. */
const NO_SCHEDULER_RETRY_MS = 1_000;

const NO_SCHEDULER: Extract<JobOutcome, {kind: 'refused'}> = {
  kind: 'refused',
  reason: 'notScheduler',
  retryAfterMs: NO_SCHEDULER_RETRY_MS,
  quote: NO_QUOTE,
};
const LOST = {kind: 'failed', reason: 'schedulerLost'} as const;

/**
 * Takes jobs to schedulers, shared out over data centres where they would wait.
 */
export class JobSubmitter {
  /** Until when a scheduler that gave no quote isn't asked for one. */
  private readonly unquotedUntil = new Map<InstanceId, number>();

  private constructor(private readonly opts: JobSubmitterOptions) {}

  /**
   * Makes a submitter.
   *
   * @param opts - Finder of schedulers, network and the own scheduler.
   * @returns The submitter.
   * @example
   * const submitter = JobSubmitter.create(opts);
   */
  static create(opts: JobSubmitterOptions): JobSubmitter {
    return new JobSubmitter(opts);
  }

  /**
   * Runs a job through the scheduler of this data centre, or another one's if
   * this one refuses it.
   *
   * @param job - The job.
   * @param signal - Aborts when the caller leaves.
   * @returns How it ended; only a refusal promises that nothing has run.
   */
  async submit(job: ScheduledJob, signal: AbortSignal): Promise<JobOutcome> {
    const {clock, finder} = this.opts;
    const startedMs = clock.now();
    let holders = finder.reachable();
    let refusal = NO_SCHEDULER;
    for (;;) {
      const own = finder.ownOf(holders);
      if (own) {
        const aged = this.aged(job, startedMs);
        const outcome = await this.submitUntilSettled(own, aged, signal);
        if (outcome.kind !== 'refused') {
          return outcome;
        }
        refusal = outcome;
        if (outcome.reason === 'notScheduler') {
          // It knows of a change that has not come here yet.
          finder.noteChange();
        }
      }
      const waitedMs = clock.now() - startedMs;
      if (!finder.isTakeover(refusal.reason) || waitedMs > TAKEOVER_WAIT_MS) {
        break;
      }
      await clock.sleep(TAKEOVER_POLL_MS, signal);
      holders = finder.reachable();
    }
    const own = finder.ownOf(holders);
    const others = holders.filter(holder => holder !== own);
    const aged = this.aged(job, startedMs);
    const quotes = [
      ...(own ? [refusal.quote] : []),
      ...(await Promise.all(others.map(h => this.quoteOf(h, aged)))),
    ];
    const parts = shareOut(this.aged(job, startedMs), quotes);
    return parts && !signal.aborted
      ? this.submitParts(own ? [own, ...others] : others, parts, quotes, signal)
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
    const timeoutMs = Math.max(1, job.leftMs) + ANSWER_SLACK_MS;
    try {
      const opts = {timeoutMs, signal};
      const res = await network.call(instanceId, 'scheduleJob', {job}, opts);
      if (res.outcome.kind === 'completed') {
        // This instance may be the next scheduler.
        res.outcome.samples.forEach(s => this.opts.learn(job.kind, s));
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
      return err instanceof PeerCallError && !err.maybeSent
        ? NO_SCHEDULER
        : LOST;
    }
  }

  /** A job as it is now, after time has passed here. */
  private aged(job: ScheduledJob, sinceMs: number): ScheduledJob {
    const spentMs = this.opts.clock.now() - sinceMs;
    return {
      ...job,
      ageMs: job.ageMs + spentMs,
      leftMs: job.leftMs - spentMs,
    };
  }

  /** When the tasks of a job would end in another data centre. */
  private async quoteOf(holder: Holder, job: ScheduledJob): Promise<JobQuote> {
    const {clock, log, network} = this.opts;
    const {instanceId} = holder.grant;
    if (clock.now() < (this.unquotedUntil.get(instanceId) ?? 0)) {
      return NO_QUOTE;
    }
    const opts = {timeoutMs: QUOTE_TIMEOUT_MS};
    try {
      const res = await network.call(instanceId, 'quoteJob', {job}, opts);
      this.unquotedUntil.delete(instanceId);
      return res.quote;
    } catch (err) {
      this.unquotedUntil.set(instanceId, clock.now() + NO_QUOTE_PAUSE_MS);
      log.emit('noQuote', {
        jobId: job.id,
        scheduler: instanceId,
        err: (err as Error).message,
      });
      return NO_QUOTE;
    }
  }

  /** Runs the parts of a job; one that fails ends the others. */
  private async submitParts(
    holders: readonly Holder[],
    parts: ReadonlyArray<ScheduledJob | undefined>,
    quotes: readonly JobQuote[],
    signal: AbortSignal,
  ): Promise<JobOutcome> {
    const ending = new AbortController();
    const cancel = (): void => ending.abort();
    signal.addEventListener('abort', cancel, {once: true});
    this.opts.log.emit('jobSplit', {
      jobId: parts.find(part => part)?.id,
      tasks: parts.map(part => part?.steps[0]?.count ?? 0),
      schedulers: holders.map(holder => holder.grant.instanceId),
      lastEndsMs: quotes.map(({endsMs}) => Math.round(Math.max(0, ...endsMs))),
      limitsMs: quotes.map(({limitMs}) => Math.round(limitMs)),
    });
    const outcomes = await Promise.all(
      holders.map(async (holder, i) => {
        const part = parts[i];
        if (!part) {
          return undefined;
        }
        const outcome = await this.submitUntilSettled(
          holder,
          part,
          ending.signal,
        );
        if (outcome.kind !== 'completed') {
          ending.abort();
        }
        return outcome;
      }),
    );
    signal.removeEventListener('abort', cancel);
    const ended = outcomes.filter(outcome => outcome !== undefined);
    const bad = ended.filter(outcome => outcome.kind !== 'completed');
    const failed = bad.find(outcome => outcome.kind === 'failed');
    if (bad.length === 0) {
      return {kind: 'completed', samples: []};
    }
    return bad.length === ended.length && !failed
      ? bad[0]!
      : (failed ?? {kind: 'failed', reason: 'schedulerLost'});
  }

  /** Runs a job at a scheduler, and at its successors if it ends meanwhile. */
  private async submitUntilSettled(
    holder: Holder,
    job: ScheduledJob,
    signal: AbortSignal,
  ): Promise<Exclude<JobOutcome, {kind: 'handedOver'}>> {
    const startedMs = this.opts.clock.now();
    let {grant} = holder;
    let placed = job.placed;
    for (;;) {
      const aged = {...this.aged(job, startedMs), placed};
      const outcome = await this.submitTo(grant, aged, signal);
      if (outcome.kind !== 'handedOver') {
        return placed && outcome.kind === 'refused' ? LOST : outcome;
      }
      placed = outcome.placed;
      const next = await this.opts.finder.successorOf(
        holder.dataCentre,
        grant,
        signal,
      );
      if (!next) {
        return LOST;
      }
      this.opts.log.emit('jobHandedOver', {
        jobId: job.id,
        to: next.instanceId,
        token: next.token,
        placed: placed.length,
      });
      grant = next;
    }
  }
}
