import type {Clock, JobOutcome, ScheduledJob} from '@papayarun/protocol';
import {EMPTY_QUOTE} from '@papayarun/protocol';
import {splitJob} from '../split_job/split_job.js';
import type {SimulatedDataCentre} from './simulated_data_centre.js';
import type {SimulatedScheduler} from './simulated_scheduler.js';

const RETRY_MS = 20;
const MAX_TAKEOVER_WAIT_MS = 400;
const MAX_SUCCESSOR_WAIT_MS = 1_200;
/** Time of a message to another data centre, in milliseconds. */
const HOP_MS = 1;
const LOST: JobOutcome = {kind: 'failed', reason: 'schedulerLost'};
const CANCELLED: JobOutcome = {
  kind: 'refused',
  reason: 'cancelled',
  retryAfterMs: 1_000,
  quote: EMPTY_QUOTE,
};

/**
 * Entry that shares jobs out over the schedulers as the job submitter of an
 * instance does.
 *
 * @description Parts of a job that are cancelled are waited for, also those at
 * other data centres. It has no timeout of its own, so that a scheduler that
 * does not answer is noticed.
 */
export class SimulatedEntry {
  /**
   * @param name - Name by which schedulers know the entry.
   * @param centres - All data centres, its own one first.
   */
  constructor(
    private readonly clock: Clock,
    private readonly name: string,
    private readonly centres: readonly SimulatedDataCentre[],
  ) {}

  /**
   * Runs a job on the scheduler of the own data centre, or shares it out.
   *
   * @param job - The job.
   * @param signal - Aborts when the caller leaves.
   */
  async submit(job: ScheduledJob, signal: AbortSignal): Promise<JobOutcome> {
    const startedMs = this.clock.now();
    const [own] = this.centres;
    const first = await this.submitToOwn(job, signal);
    if (first.kind !== 'refused') {
      return first;
    }
    const quotes = this.centres.map(centre =>
      centre === own ? first.quote : this.quote(centre, job),
    );
    const parts = splitJob(this.elapsed(job, startedMs), quotes);
    return parts && !signal.aborted ? this.submitParts(parts, signal) : first;
  }

  private quote(
    centre: SimulatedDataCentre,
    job: ScheduledJob,
  ): typeof EMPTY_QUOTE {
    const {scheduler} = centre;
    return scheduler.isActive ? scheduler.quote(job) : EMPTY_QUOTE;
  }

  private async submitToOwn(
    job: ScheduledJob,
    signal: AbortSignal,
  ): Promise<JobOutcome> {
    const startedMs = this.clock.now();
    for (;;) {
      const outcome = await this.submitWithHandover(
        this.centres[0]!,
        this.elapsed(job, startedMs),
        signal,
      );
      const isTakeover =
        outcome.kind === 'refused' &&
        (outcome.reason === 'notScheduler' || outcome.reason === 'noTargets');
      const waitedMs = this.clock.now() - startedMs;
      const maxWaitMs = Math.min(MAX_TAKEOVER_WAIT_MS, job.leftMs);
      if (!isTakeover || waitedMs > maxWaitMs || signal.aborted) {
        return outcome;
      }
      await this.clock.sleep(RETRY_MS, signal);
    }
  }

  private async submitParts(
    parts: ReadonlyArray<ScheduledJob | undefined>,
    signal: AbortSignal,
  ): Promise<JobOutcome> {
    const partsAbort = new AbortController();
    const cancel = (): void => partsAbort.abort();
    signal.addEventListener('abort', cancel, {once: true});
    let completed = 0;
    /** In the order of their ends: the first is the cause of the others. */
    const unsuccessful: JobOutcome[] = [];
    await Promise.all(
      parts.map(async (part, n) => {
        if (!part) {
          return;
        }
        const outcome = await this.submitWithHandover(
          this.centres[n]!,
          part,
          partsAbort.signal,
        );
        if (outcome.kind === 'completed') {
          completed++;
        } else {
          unsuccessful.push(outcome);
          partsAbort.abort();
        }
      }),
    );
    signal.removeEventListener('abort', cancel);
    const [cause] = unsuccessful;
    if (!cause) {
      return {kind: 'completed', samples: []};
    }
    const failed = unsuccessful.find(({kind}) => kind === 'failed');
    return completed === 0 && !failed ? cause : (failed ?? LOST);
  }

  private async submitWithHandover(
    centre: SimulatedDataCentre,
    job: ScheduledJob,
    signal: AbortSignal,
  ): Promise<JobOutcome> {
    const startedMs = this.clock.now();
    let {scheduler} = centre;
    let {placed} = job;
    for (;;) {
      const outcome = await this.submitTo(
        scheduler,
        centre === this.centres[0] ? 0 : HOP_MS,
        {...this.elapsed(job, startedMs), ...(placed && {placed})},
        signal,
      );
      if (outcome.kind !== 'handedOver') {
        return placed && outcome.kind === 'refused' ? LOST : outcome;
      }
      placed = outcome.placed;
      const successor = await this.successorOf(
        centre,
        scheduler,
        startedMs + job.leftMs,
        signal,
      );
      if (!successor) {
        return LOST;
      }
      scheduler = successor;
    }
  }

  private async successorOf(
    centre: SimulatedDataCentre,
    former: SimulatedScheduler,
    latestMs: number,
    signal: AbortSignal,
  ): Promise<SimulatedScheduler | undefined> {
    const endMs = Math.min(latestMs, this.clock.now() + MAX_SUCCESSOR_WAIT_MS);
    while (!signal.aborted && this.clock.now() < endMs) {
      const {scheduler} = centre;
      if (scheduler.token > former.token && scheduler.isActive) {
        return scheduler;
      }
      await this.clock.sleep(Math.min(RETRY_MS, endMs - this.clock.now()));
    }
    return undefined;
  }

  private async submitTo(
    scheduler: SimulatedScheduler,
    hopMs: number,
    job: ScheduledJob,
    signal: AbortSignal,
  ): Promise<JobOutcome> {
    if (signal.aborted) {
      return CANCELLED;
    }
    const cancel = (): void => {
      void this.hop(hopMs).then(() => scheduler.cancel(this.name, job.id));
    };
    signal.addEventListener('abort', cancel, {once: true});
    await this.hop(hopMs);
    const outcome = await scheduler.submit(this.name, job);
    signal.removeEventListener('abort', cancel);
    await this.hop(hopMs);
    return outcome;
  }

  private async hop(ms: number): Promise<void> {
    if (ms > 0) {
      await this.clock.sleep(ms);
    }
  }

  /** Copies a job with its age and remaining time updated to now. */
  private elapsed(job: ScheduledJob, sinceMs: number): ScheduledJob {
    const spentMs = this.clock.now() - sinceMs;
    return {...job, ageMs: job.ageMs + spentMs, leftMs: job.leftMs - spentMs};
  }
}
