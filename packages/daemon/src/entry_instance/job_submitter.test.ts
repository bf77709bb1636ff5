import type {
  InstanceId,
  JobId,
  JobOutcome,
  JobQuote,
  KindId,
  PeerNetwork,
  ScheduledJob,
  ServiceId,
  ShardId,
} from '@papayarun/protocol';
import {dataCentreOfShard, PeerCallError} from '@papayarun/protocol';
import {SilentLog, VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {JobSubmitter} from './job_submitter.js';
import type {SchedulerFinder} from './scheduler_finder.js';
import type {ShardScheduler} from './shard_scheduler.js';

const SELF = 'centro-1:7720' as InstanceId;
const REMOTE = 'serra-1:7720' as InstanceId;
const COMPLETED: JobOutcome = {kind: 'completed', samples: []};
const NEVER = new AbortController().signal;

function schedulerOf(name: string, instanceId: InstanceId): ShardScheduler {
  const shard = name as ShardId;
  const grant = {
    instanceId,
    boot: 'b',
    token: 1,
  } as unknown as ShardScheduler['grant'];
  return {shard, dataCentre: dataCentreOfShard(shard), grant};
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

/** Submitter in one data centre, with schedulers in it and in another one. */
class Fixture {
  readonly clock = VirtualClock.create();
  readonly localJobs: ScheduledJob[] = [];
  readonly remoteJobs: ScheduledJob[] = [];
  readonly cancelled: JobId[] = [];
  quoteRequests = 0;
  /** Shards of other schedulers. */
  others = ['serra'];
  scheduleLocally: (job: ScheduledJob) => Promise<JobOutcome> = () =>
    Promise.resolve(COMPLETED);
  scheduleRemotely: (job: ScheduledJob) => Promise<JobOutcome> = () =>
    Promise.resolve(COMPLETED);
  quoteRemotely: () => Promise<JobQuote> = () => Promise.resolve(quoteOf());

  submit(job: ScheduledJob): Promise<JobOutcome> {
    return this.submitter.submit(job, NEVER);
  }

  private readonly submitter = JobSubmitter.create({
    self: SELF,
    finder: this.finder(),
    network: this.network(),
    clock: this.clock,
    log: SilentLog.create(),
    quote: () => quoteOf(),
    schedule: (_shard, job) => {
      this.localJobs.push(job);
      return this.scheduleLocally(job);
    },
    cancel: jobId => this.cancelled.push(jobId),
    recordRunTime: () => undefined,
  });

  private finder(): SchedulerFinder {
    const localScheduler = schedulerOf('centro', SELF);
    const finder: Partial<SchedulerFinder> = {
      reachable: () => [
        localScheduler,
        ...this.others.map(shard => schedulerOf(shard, REMOTE)),
      ],
      localSchedulersIn: () => [localScheduler],
      isTakeoverRefusal: () => false,
      recordGrantChange: () => undefined,
      waitForSuccessor: () => Promise.resolve(undefined),
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
        this.quoteRequests++;
        return {quote: await this.quoteRemotely()};
      }
      this.remoteJobs.push(job);
      return {outcome: await this.scheduleRemotely(job)};
    };
    return {call, notify: () => undefined} as unknown as PeerNetwork;
  }
}

describe('JobSubmitter', () => {
  it('requests no quotes when the local scheduler accepts the job', async () => {
    const fixture = new Fixture();
    expect(await fixture.submit(jobOf(4))).toEqual(COMPLETED);
    expect(fixture.quoteRequests).toBe(0);
  });

  it('splits a job that would wait, with each task in exactly one part', async () => {
    const fixture = new Fixture();
    fixture.scheduleLocally = job =>
      Promise.resolve(job.isPromised ? COMPLETED : wouldWait(60, 60, 140, 140));
    fixture.quoteRemotely = () => Promise.resolve(quoteOf(60, 60, 140, 140));
    expect(await fixture.submit(jobOf(4))).toEqual(COMPLETED);
    const [, localPart] = fixture.localJobs;
    expect(localPart!.steps[0]).toMatchObject({count: 2, firstIndex: 0});
    expect(fixture.remoteJobs).toHaveLength(1);
    expect(fixture.remoteJobs[0]!.steps[0]).toMatchObject({
      count: 2,
      firstIndex: 2,
    });
  });

  it('keeps a waiting job local when no other scheduler ends it earlier', async () => {
    const fixture = new Fixture();
    fixture.scheduleLocally = job =>
      Promise.resolve(job.isPromised ? COMPLETED : wouldWait(100, 100));
    fixture.quoteRemotely = () => Promise.resolve(quoteOf(140, 140));
    expect(await fixture.submit(jobOf(2))).toEqual(COMPLETED);
    expect(fixture.remoteJobs).toHaveLength(0);
  });

  it('requests at most two quotes per job on average when every job needs them', async () => {
    const fixture = new Fixture();
    fixture.others = ['centro#1', 'centro#2', 'serra', 'ribeira'];
    fixture.scheduleLocally = () => Promise.resolve(wouldWait(400, 400));
    fixture.quoteRemotely = () => Promise.resolve(quoteOf(400, 400));
    for (let n = 0; n < 100; n++) {
      await fixture.submit(jobOf(2));
    }
    expect(fixture.quoteRequests).toBeLessThanOrEqual(2 * 100 + 20);
  });

  it('starts no part of a refused job', async () => {
    const fixture = new Fixture();
    const refusal: JobOutcome = {
      kind: 'refused',
      reason: 'tooLate',
      retryAfterMs: 300,
      quote: quoteOf(400, 400),
    };
    fixture.scheduleLocally = () => Promise.resolve(refusal);
    fixture.quoteRemotely = () => Promise.resolve(quoteOf(300, 300));
    expect(await fixture.submit(jobOf(2))).toEqual(refusal);
    expect(fixture.localJobs).toHaveLength(1);
    expect(fixture.remoteJobs).toHaveLength(0);
  });

  it('requests no quote for a while from a scheduler that timed out, as in a network partition', async () => {
    const fixture = new Fixture();
    fixture.scheduleLocally = job =>
      Promise.resolve(job.isPromised ? COMPLETED : wouldWait(100, 100));
    fixture.quoteRemotely = () =>
      Promise.reject(PeerCallError.create(true, 'timed out'));
    for (let n = 0; n < 5; n++) {
      expect(await fixture.submit(jobOf(2))).toEqual(COMPLETED);
      await fixture.clock.advance(10);
    }
    expect(fixture.quoteRequests).toBe(1);
    await fixture.clock.advance(300);
    await fixture.submit(jobOf(2));
    expect(fixture.quoteRequests).toBe(2);
  });

  it('fails a job and cancels its other parts when one part is lost', async () => {
    const fixture = new Fixture();
    fixture.scheduleLocally = job =>
      job.isPromised
        ? new Promise(resolve => {
            const timer = setInterval(() => {
              if (fixture.cancelled.length > 0) {
                clearInterval(timer);
                resolve({kind: 'failed', reason: 'cancelled'});
              }
            }, 1);
          })
        : Promise.resolve(wouldWait(60, 140));
    fixture.quoteRemotely = () => Promise.resolve(quoteOf(60, 140));
    fixture.scheduleRemotely = () =>
      Promise.reject(PeerCallError.create(true, 'link lost'));
    const outcome = await fixture.submit(jobOf(2));
    expect(outcome.kind).toBe('failed');
    expect(fixture.cancelled).toEqual([jobOf(2).id]);
  });
});
