import type {
  DataCentreId,
  InstanceId,
  JobId,
  JobOutcome,
  JobQuote,
  KindId,
  PeerNetwork,
  ScheduledJob,
  ServiceId,
} from '@papayarun/protocol';
import {PeerCallError} from '@papayarun/protocol';
import {SilentLog, VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import type {Holder} from './holder.js';
import {JobSubmitter} from './job_submitter.js';
import type {SchedulerFinder} from './scheduler_finder.js';

const SELF = 'centro-1:7720' as InstanceId;
const OTHER = 'serra-1:7720' as InstanceId;
const COMPLETED: JobOutcome = {kind: 'completed', samples: []};
const NEVER = new AbortController().signal;

function holderOf(dataCentre: string, instanceId: InstanceId): Holder {
  const grant = {instanceId, boot: 'b', token: 1} as unknown as Holder['grant'];
  return {dataCentre: dataCentre as DataCentreId, grant};
}

function quoteOf(...endsMs: number[]): JobQuote {
  return {endsMs, limitMs: 156, latestMs: 0};
}

function wouldWait(...endsMs: number[]): JobOutcome {
  const quote = quoteOf(...endsMs);
  return {kind: 'refused', reason: 'wouldWait', retryAfterMs: 500, quote};
}

function jobOf(count: number): ScheduledJob {
  const needs = {cores: 14, memoryMb: 64, accelerators: 0};
  return {
    id: '5c0e7a21d94b36f8' as JobId,
    kind: 'relato' as KindId,
    service: 'falhas' as ServiceId,
    spec: '',
    steps: [{count, firstIndex: 0, needs, estimateMs: 60, after: []}],
    priority: 0,
    maxAttempts: 4,
    stretch: 1.6,
    slackMs: 60,
    ageMs: 0,
    leftMs: 1_500,
    isPromised: false,
  };
}

/** A submitter in one data centre, with the scheduler of another one. */
class Bench {
  readonly clock = VirtualClock.create();
  readonly here: ScheduledJob[] = [];
  readonly there: ScheduledJob[] = [];
  readonly cancelled: JobId[] = [];
  quotesAsked = 0;
  own: (job: ScheduledJob) => Promise<JobOutcome> = () =>
    Promise.resolve(COMPLETED);
  other: (job: ScheduledJob) => Promise<JobOutcome> = () =>
    Promise.resolve(COMPLETED);
  quote: () => Promise<JobQuote> = () => Promise.resolve(quoteOf());

  submit(job: ScheduledJob): Promise<JobOutcome> {
    return this.submitter.submit(job, NEVER);
  }

  private readonly submitter = JobSubmitter.create({
    self: SELF,
    finder: this.finder(),
    network: this.network(),
    clock: this.clock,
    log: SilentLog.create(),
    schedule: job => {
      this.here.push(job);
      return this.own(job);
    },
    cancel: jobId => this.cancelled.push(jobId),
    learn: () => undefined,
  });

  private finder(): SchedulerFinder {
    const own = holderOf('centro', SELF);
    const finder: Partial<SchedulerFinder> = {
      reachable: () => [own, holderOf('serra', OTHER)],
      ownOf: () => own,
      isTakeover: () => false,
      noteChange: () => undefined,
      successorOf: () => Promise.resolve(undefined),
    };
    return finder as SchedulerFinder;
  }

  private network(): Pick<PeerNetwork, 'call' | 'notify'> {
    const call = async (
      _to: InstanceId,
      name: string,
      {job}: {job: ScheduledJob},
    ): Promise<unknown> => {
      if (name === 'quoteJob') {
        this.quotesAsked++;
        return {quote: await this.quote()};
      }
      this.there.push(job);
      return {outcome: await this.other(job)};
    };
    return {call, notify: () => undefined} as unknown as PeerNetwork;
  }
}

describe('JobSubmitter', () => {
  it('asks nobody else while the own data centre has places', async () => {
    const bench = new Bench();
    expect(await bench.submit(jobOf(4))).toEqual(COMPLETED);
    expect(bench.quotesAsked).toBe(0);
  });

  it('shares out a job that would wait, each task once', async () => {
    const bench = new Bench();
    bench.own = job =>
      Promise.resolve(job.isPromised ? COMPLETED : wouldWait(60, 60, 140, 140));
    bench.quote = () => Promise.resolve(quoteOf(60, 60, 140, 140));
    expect(await bench.submit(jobOf(4))).toEqual(COMPLETED);
    const [, own] = bench.here;
    expect(own!.steps[0]).toMatchObject({count: 2, firstIndex: 0});
    expect(bench.there).toHaveLength(1);
    expect(bench.there[0]!.steps[0]).toMatchObject({count: 2, firstIndex: 2});
  });

  it('keeps a job that would wait when nobody ends it earlier', async () => {
    const bench = new Bench();
    bench.own = job =>
      Promise.resolve(job.isPromised ? COMPLETED : wouldWait(100, 100));
    bench.quote = () => Promise.resolve(quoteOf(140, 140));
    expect(await bench.submit(jobOf(2))).toEqual(COMPLETED);
    expect(bench.there).toHaveLength(0);
  });

  it('begins nothing of a job that it refuses', async () => {
    const bench = new Bench();
    const refusal: JobOutcome = {
      kind: 'refused',
      reason: 'tooLate',
      retryAfterMs: 300,
      quote: quoteOf(400, 400),
    };
    bench.own = () => Promise.resolve(refusal);
    bench.quote = () => Promise.resolve(quoteOf(300, 300));
    expect(await bench.submit(jobOf(2))).toEqual(refusal);
    expect(bench.here).toHaveLength(1);
    expect(bench.there).toHaveLength(0);
  });

  it('replays a cut: a scheduler that gave no quote is left out for a while', async () => {
    const bench = new Bench();
    bench.own = job =>
      Promise.resolve(job.isPromised ? COMPLETED : wouldWait(100, 100));
    bench.quote = () => Promise.reject(PeerCallError.create(true, 'timed out'));
    for (let n = 0; n < 5; n++) {
      expect(await bench.submit(jobOf(2))).toEqual(COMPLETED);
      await bench.clock.advance(10);
    }
    expect(bench.quotesAsked).toBe(1);
    await bench.clock.advance(300);
    await bench.submit(jobOf(2));
    expect(bench.quotesAsked).toBe(2);
  });

  it('fails a job of which one part is lost, and cancels the rest', async () => {
    const bench = new Bench();
    bench.own = job =>
      job.isPromised
        ? new Promise(resolve => {
            const timer = setInterval(() => {
              if (bench.cancelled.length > 0) {
                clearInterval(timer);
                resolve({kind: 'failed', reason: 'cancelled'});
              }
            }, 1);
          })
        : Promise.resolve(wouldWait(60, 140));
    bench.quote = () => Promise.resolve(quoteOf(60, 140));
    bench.other = () => Promise.reject(PeerCallError.create(true, 'link lost'));
    const outcome = await bench.submit(jobOf(2));
    expect(outcome.kind).toBe('failed');
    expect(bench.cancelled).toEqual([jobOf(2).id]);
  });
});
