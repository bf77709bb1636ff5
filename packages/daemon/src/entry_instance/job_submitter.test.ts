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
  TargetId,
  TaskId,
} from '@papayarun/protocol';
import {
  dataCentreOfShard,
  EMPTY_QUOTE,
  PeerCallError,
} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import {MemoryNetwork, SilentLog, VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it, vi} from 'vitest';
import {InterruptedJobs} from '../interrupted_jobs/interrupted_jobs.js';
import {JobSubmitter} from './job_submitter.js';
import type {SchedulerFinder} from './scheduler_finder.js';
import type {ShardScheduler} from './shard_scheduler.js';

const SELF = 'centro-1:7720' as InstanceId;
const REMOTE = 'serra-1:7720' as InstanceId;
const COMPLETED: JobOutcome = {kind: 'completed', samples: []};
const FAILED: JobOutcome = {kind: 'failed', reason: 'deadline'};
const TASK_FAILED: JobOutcome = {kind: 'failed', reason: 'taskFailed'};
const CANCELLED: JobOutcome = {kind: 'failed', reason: 'cancelled'};
const NOT_STARTED: Extract<JobOutcome, {kind: 'refused'}> = {
  kind: 'refused',
  reason: 'cancelled',
  retryAfterMs: 500,
  quote: EMPTY_QUOTE,
};
const NEVER = new AbortController().signal;
const EVACUATED: JobOutcome = {...NOT_STARTED, reason: 'evacuated'};
const NO_TARGETS: JobOutcome = {...NOT_STARTED, reason: 'noTargets'};
/** Longest time for which runs of a lost scheduler go on. */
const LEASE_MS = 1_070;

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
  readonly log = SilentLog.create();
  readonly localJobs: ScheduledJob[] = [];
  readonly remoteJobs: ScheduledJob[] = [];
  readonly cancelled: JobId[] = [];
  /** Aborted when a job is cancelled at the scheduler of this instance. */
  readonly localCancel = new AbortController();
  /** Times at which the cancel of a job was sent to the other instance. */
  readonly cancelNoticesMs: number[] = [];
  quoteRequests = 0;
  /** Reads what has arrived on the connections, up to the returned time. */
  read: () => Promise<number> = () => Promise.resolve(this.clock.now());
  /** Instance that schedules the shard of this data centre. */
  localInstance = SELF;
  /** Grant of the scheduler that takes over the shard of this data centre. */
  successor: ShardScheduler['grant'] | undefined;
  /** Times until which a successor was waited for, in milliseconds. */
  readonly successorWaitsMs: number[] = [];
  /** Whether a scheduler without a grant or targets is about to get them. */
  isTakingOver = false;
  /** Shards of other schedulers. */
  others = ['serra'];
  scheduleLocally: (job: ScheduledJob) => Promise<JobOutcome> = () =>
    Promise.resolve(COMPLETED);
  scheduleRemotely: (job: ScheduledJob) => Promise<JobOutcome> = () =>
    Promise.resolve(COMPLETED);
  quoteRemotely: () => Promise<JobQuote> = () => Promise.resolve(quoteOf());

  /** Called for each cancel notice that the other instance is sent. */
  receiveCancel: () => void = () => undefined;

  submit(job: ScheduledJob, signal = NEVER): Promise<JobOutcome> {
    return this.submitter.submit(job, signal);
  }

  /** Submits a job; the outcome is set when it has been answered. */
  submitAndRecord(job: ScheduledJob, signal = NEVER): {outcome?: JobOutcome} {
    const answer: {outcome?: JobOutcome} = {};
    void this.submit(job, signal).then(outcome => {
      answer.outcome = outcome;
    });
    return answer;
  }

  /** Splits each job of two tasks into a local and a remote part. */
  splitInTwo(): void {
    const {scheduleLocally} = this;
    this.scheduleLocally = job =>
      job.isPromised
        ? scheduleLocally(job)
        : Promise.resolve(wouldWait(60, 140));
    this.quoteRemotely = () => Promise.resolve(quoteOf(60, 140));
  }

  private readonly submitter = JobSubmitter.create({
    registrations: {
      isCurrent: () => true,
      register: () => Promise.resolve(undefined),
    },
    self: SELF,
    finder: this.finder(),
    network: this.network(),
    clock: this.clock,
    log: this.log,
    keepAliveMs: 300,
    afterNextReading: () => this.read(),
    longestLeaseMs: LEASE_MS,
    interrupted: this.interruptedJobs(),
    quote: () => quoteOf(),
    schedule: (_shard, job) => {
      this.localJobs.push(job);
      return this.scheduleLocally(job);
    },
    cancel: jobId => {
      this.cancelled.push(jobId);
      this.localCancel.abort();
    },
    recordRunTime: () => undefined,
  });

  /** Record without any other instance. */
  private interruptedJobs(): InterruptedJobs {
    const random = SeededRandom.create(1);
    return InterruptedJobs.create({
      self: SELF,
      dataCentre: dataCentreOfShard('centro' as ShardId),
      clock: this.clock,
      random,
      log: SilentLog.create(),
      network: MemoryNetwork.create(this.clock, random, 0).join(SELF),
      entries: () => new Map(),
      stateInstances: () => [],
      inFlightKeepers: () => new Map(),
      runsEndAfterMs: LEASE_MS,
    });
  }

  areAllEvacuated = false;
  isAnyEvacuated = false;

  private finder(): SchedulerFinder {
    const localScheduler = (): ShardScheduler =>
      schedulerOf('centro', this.localInstance);
    const finder: Partial<SchedulerFinder> = {
      reachableInService: () => [
        localScheduler(),
        ...this.others.map(shard => schedulerOf(shard, REMOTE)),
      ],
      firstChoices: refusing =>
        refusing.size === 0
          ? [localScheduler()]
          : this.others.map(shard => schedulerOf(shard, REMOTE)),
      areAllEvacuated: () => this.areAllEvacuated,
      isAnyEvacuated: () => this.isAnyEvacuated,
      isTakeoverRefusal: () => this.isTakingOver,
      recordGrantChange: () => undefined,
      waitForSuccessor: (_shard, _former, latestMs) => {
        this.successorWaitsMs.push(latestMs);
        return Promise.resolve(this.successor);
      },
    };
    return finder as SchedulerFinder;
  }

  /** Ends calls on abort and timeout as a link does. */
  private network(): Pick<PeerNetwork, 'call' | 'notify'> {
    const call = async (
      _to: InstanceId,
      name: string,
      {job}: {job: ScheduledJob},
      {timeoutMs, signal}: {timeoutMs: number; signal?: AbortSignal},
    ): Promise<unknown> => {
      if (name === 'quoteJob') {
        this.quoteRequests++;
        return {quote: await this.quoteRemotely()};
      }
      this.remoteJobs.push(job);
      return new Promise((resolve, reject) => {
        const fail = (message: string): void =>
          reject(PeerCallError.create(true, message));
        signal?.addEventListener('abort', () => fail('cancelled'));
        void this.clock.sleep(timeoutMs).then(() => fail('timed out'));
        this.scheduleRemotely(job).then(
          outcome => resolve({outcome}),
          (err: Error) => reject(err),
        );
      });
    };
    const notify = (): void => {
      this.cancelNoticesMs.push(this.clock.now());
      this.receiveCancel();
    };
    return {call, notify} as unknown as PeerNetwork;
  }
}

describe('JobSubmitter', () => {
  // Its own data centre was evacuated, and it had not learned of it yet.
  it('submits a job to another data centre when its own one is evacuated', async () => {
    const fixture = new Fixture();
    fixture.scheduleLocally = () => Promise.resolve(EVACUATED);
    fixture.scheduleRemotely = () => Promise.resolve(COMPLETED);
    expect(await fixture.submit(jobOf(4))).toEqual(COMPLETED);
    expect(fixture.localJobs).toHaveLength(1);
    expect(fixture.remoteJobs).toHaveLength(1);
  });

  // The answer said that the service has no targets, which are evacuated.
  it.each([
    ['before it has learned of it', false],
    ['when it has learned of it', true],
  ])(
    'refuses a job as evacuated if no other data centre has targets, %s',
    async (_, isKnown) => {
      const fixture = new Fixture();
      fixture.isAnyEvacuated = isKnown;
      fixture.scheduleLocally = () =>
        Promise.resolve(isKnown ? NO_TARGETS : EVACUATED);
      fixture.scheduleRemotely = () => Promise.resolve(NO_TARGETS);
      expect(await fixture.submit(jobOf(4))).toMatchObject({
        kind: 'refused',
        reason: 'evacuated',
      });
    },
  );

  it('refuses a job at once when all data centres are evacuated', async () => {
    const fixture = new Fixture();
    fixture.areAllEvacuated = true;
    fixture.others = [];
    fixture.isTakingOver = true;
    const startedMs = fixture.clock.now();
    expect(await fixture.submit(jobOf(4))).toMatchObject({
      kind: 'refused',
      reason: 'evacuated',
    });
    expect(fixture.clock.now()).toBe(startedMs);
    expect(fixture.localJobs).toHaveLength(0);
    expect(fixture.quoteRequests).toBe(0);
  });

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
    const answer = fixture.submitAndRecord(jobOf(2));
    await vi.waitFor(() => expect(fixture.cancelled).toEqual([jobOf(2).id]));
    await fixture.clock.advance(LEASE_MS);
    expect(answer.outcome).toMatchObject({kind: 'failed'});
  });

  // The caller sent the job again to another data centre at once.
  it('answers the job of a lost scheduler when its runs have lost their lease', async () => {
    const fixture = new Fixture();
    fixture.localInstance = REMOTE;
    fixture.scheduleRemotely = () =>
      Promise.reject(PeerCallError.create(true, 'link lost'));
    const answer = fixture.submitAndRecord(jobOf(2));
    await fixture.clock.advance(LEASE_MS - 10);
    expect(answer.outcome).toBeUndefined();
    await fixture.clock.advance(10);
    expect(answer.outcome).toMatchObject({reason: 'schedulerLost'});
  });

  it('answers both callers of a lost job when its runs have lost their lease', async () => {
    const fixture = new Fixture();
    fixture.localInstance = REMOTE;
    fixture.scheduleRemotely = () =>
      Promise.reject(PeerCallError.create(true, 'link lost'));
    const first = fixture.submitAndRecord(jobOf(2));
    const second = fixture.submitAndRecord(jobOf(2));
    await fixture.clock.advance(LEASE_MS - 10);
    expect(first.outcome).toBeUndefined();
    expect(second.outcome).toBeUndefined();
  });

  // The scheduler of the other part ran its tasks on while the caller sent the
  // job again by another entry.
  it('answers a failed part only when the cancelled part is concluded', async () => {
    const fixture = new Fixture();
    fixture.scheduleLocally = () => Promise.resolve(FAILED);
    fixture.splitInTwo();
    fixture.scheduleRemotely = () =>
      new Promise(resolve => {
        fixture.receiveCancel = () =>
          void fixture.clock.sleep(30).then(() => resolve(CANCELLED));
      });
    const answer = fixture.submitAndRecord(jobOf(2));
    await fixture.clock.advance(29);
    expect(fixture.cancelNoticesMs).toEqual([0]);
    expect(answer.outcome).toBeUndefined();
    await fixture.clock.advance(1);
    expect(answer.outcome).toEqual(FAILED);
  });

  // A notice is dropped by a full or replaced link.
  it('repeats the cancel of a part until its scheduler has answered', async () => {
    const fixture = new Fixture();
    fixture.scheduleLocally = () => Promise.resolve(FAILED);
    fixture.splitInTwo();
    fixture.scheduleRemotely = () =>
      new Promise(resolve => {
        fixture.receiveCancel = () => {
          if (fixture.cancelNoticesMs.length > 3) {
            resolve(CANCELLED);
          }
        };
      });
    const answer = fixture.submitAndRecord(jobOf(2));
    await fixture.clock.advance(299);
    expect(answer.outcome).toBeUndefined();
    await fixture.clock.advance(1_000);
    expect(answer.outcome).toEqual(FAILED);
    expect(fixture.cancelNoticesMs).toEqual([0, 100, 200, 300]);
  });

  it('waits for the deadline of a cancelled part whose scheduler never answers', async () => {
    const fixture = new Fixture();
    fixture.scheduleLocally = () => Promise.resolve(FAILED);
    fixture.splitInTwo();
    fixture.scheduleRemotely = () => new Promise(() => undefined);
    const answer = fixture.submitAndRecord(jobOf(2));
    await fixture.clock.advance(jobOf(2).leftMs);
    expect(answer.outcome).toBeUndefined();
    await fixture.clock.advance(100);
    expect(answer.outcome).toEqual(FAILED);
    const sent = fixture.cancelNoticesMs.length;
    expect(sent).toBeLessThanOrEqual(17);
    await fixture.clock.advance(1_000);
    expect(fixture.cancelNoticesMs).toHaveLength(sent);
  });

  it('waits for the outcome of a job whose caller has disconnected', async () => {
    const fixture = new Fixture();
    fixture.localInstance = REMOTE;
    fixture.scheduleRemotely = () =>
      fixture.clock.sleep(200).then(() => CANCELLED);
    const caller = new AbortController();
    const answer = fixture.submitAndRecord(jobOf(2), caller.signal);
    await fixture.clock.advance(50);
    caller.abort();
    await fixture.clock.advance(149);
    expect(fixture.cancelNoticesMs).toEqual([50, 150]);
    expect(answer.outcome).toBeUndefined();
    await fixture.clock.advance(1);
    expect(answer.outcome).toEqual(CANCELLED);
  });

  it('submits nothing for a caller that has disconnected before', async () => {
    const fixture = new Fixture();
    fixture.localInstance = REMOTE;
    const outcome = await fixture.submit(jobOf(2), AbortSignal.abort());
    expect(outcome).toMatchObject({kind: 'refused', reason: 'cancelled'});
    expect(fixture.remoteJobs).toHaveLength(0);
  });

  it('fails a job of which only the cancelled part completes', async () => {
    const fixture = new Fixture();
    fixture.scheduleLocally = () => Promise.resolve(FAILED);
    fixture.splitInTwo();
    fixture.scheduleRemotely = () =>
      new Promise(resolve => {
        fixture.receiveCancel = () => resolve(COMPLETED);
      });
    const answer = fixture.submitAndRecord(jobOf(2));
    await fixture.clock.advance(10);
    expect(answer.outcome).toEqual(FAILED);
  });

  it('completes a job all of whose parts complete after the caller has disconnected', async () => {
    const fixture = new Fixture();
    fixture.scheduleLocally = () =>
      fixture.clock.sleep(60).then(() => COMPLETED);
    fixture.splitInTwo();
    fixture.scheduleRemotely = () =>
      fixture.clock.sleep(80).then(() => COMPLETED);
    const caller = new AbortController();
    const answer = fixture.submitAndRecord(jobOf(2), caller.signal);
    await fixture.clock.advance(50);
    caller.abort();
    await fixture.clock.advance(29);
    expect(answer.outcome).toBeUndefined();
    await fixture.clock.advance(1);
    expect(answer.outcome).toEqual(COMPLETED);
  });

  it('refuses a job none of whose parts was started', async () => {
    const fixture = new Fixture();
    fixture.scheduleLocally = () => Promise.resolve(NOT_STARTED);
    fixture.splitInTwo();
    fixture.scheduleRemotely = () =>
      new Promise(resolve => {
        fixture.receiveCancel = () => resolve(NOT_STARTED);
      });
    const answer = fixture.submitAndRecord(jobOf(2));
    await fixture.clock.advance(10);
    expect(answer.outcome).toEqual(NOT_STARTED);
  });

  // Both submissions were one requester at the scheduler, and the disconnect of
  // the first caller cancelled the job of the second.
  it.each([SELF, REMOTE])(
    'keeps a job at %s that a second caller of the same entry waits for',
    async scheduler => {
      const fixture = new Fixture();
      fixture.localInstance = scheduler;
      const run = (): Promise<JobOutcome> =>
        fixture.clock.sleep(300).then(() => COMPLETED);
      fixture.scheduleLocally = run;
      fixture.scheduleRemotely = run;
      const callers = [new AbortController(), new AbortController()];
      const cancels = (): number =>
        fixture.cancelled.length + fixture.cancelNoticesMs.length;
      for (const {signal} of callers) {
        fixture.submitAndRecord(jobOf(2), signal);
      }
      await fixture.clock.advance(50);
      callers[0]!.abort();
      await fixture.clock.advance(100);
      expect(cancels()).toBe(0);
      callers[1]!.abort();
      expect(cancels()).toBe(1);
    },
  );

  it('cancels the job of the second caller after that of the first has ended', async () => {
    const fixture = new Fixture();
    fixture.localInstance = REMOTE;
    const caller = new AbortController();
    fixture.scheduleRemotely = () => Promise.resolve(COMPLETED);
    await fixture.submit(jobOf(2));
    fixture.scheduleRemotely = () => new Promise(() => undefined);
    fixture.submitAndRecord(jobOf(2), caller.signal);
    await fixture.clock.advance(50);
    caller.abort();
    expect(fixture.cancelNoticesMs).toEqual([50]);
  });

  it('cancels both parts of a job at one instance when its caller disconnects', async () => {
    const fixture = new Fixture();
    fixture.localInstance = REMOTE;
    fixture.scheduleRemotely = job =>
      job.isPromised
        ? new Promise(() => undefined)
        : Promise.resolve(wouldWait(60, 140));
    fixture.quoteRemotely = () => Promise.resolve(quoteOf(60, 140));
    const caller = new AbortController();
    fixture.submitAndRecord(jobOf(2), caller.signal);
    await fixture.clock.advance(50);
    expect(fixture.remoteJobs).toHaveLength(3);
    caller.abort();
    expect(fixture.cancelNoticesMs).toEqual([50]);
  });

  // The answer was 504 for the cancel of a part that comes first in the job, so
  // the caller sent a job again whose tasks fail.
  it.each([TASK_FAILED, FAILED])(
    'answers the outcome of the part that failed first: $reason',
    async failure => {
      const fixture = new Fixture();
      fixture.scheduleLocally = () =>
        new Promise(resolve => {
          const {signal} = fixture.localCancel;
          signal.addEventListener('abort', () => resolve(CANCELLED));
        });
      fixture.splitInTwo();
      fixture.scheduleRemotely = () => Promise.resolve(failure);
      const answer = fixture.submitAndRecord(jobOf(2));
      await fixture.clock.advance(10);
      expect(answer.outcome).toEqual(failure);
    },
  );

  it('answers the refusal of the part that was refused first', async () => {
    const fixture = new Fixture();
    const refusal: JobOutcome = {...NOT_STARTED, reason: 'tooLate'};
    fixture.scheduleLocally = () =>
      new Promise(resolve => {
        const {signal} = fixture.localCancel;
        signal.addEventListener('abort', () => resolve(NOT_STARTED));
      });
    fixture.splitInTwo();
    fixture.scheduleRemotely = () => Promise.resolve(refusal);
    const answer = fixture.submitAndRecord(jobOf(2));
    await fixture.clock.advance(10);
    expect(answer.outcome).toEqual(refusal);
  });

  // A call that was held up on its link arrived after its timeout, and the
  // scheduler ran the job while the caller sent it again.
  it('cancels a job whose scheduler did not answer in time', async () => {
    const fixture = new Fixture();
    fixture.localInstance = REMOTE;
    fixture.scheduleRemotely = () => new Promise(() => undefined);
    const answer = fixture.submitAndRecord(jobOf(2));
    await fixture.clock.advance(1_599);
    expect(fixture.cancelNoticesMs).toEqual([]);
    await fixture.clock.advance(1);
    expect(fixture.cancelNoticesMs).toEqual([1_600]);
    expect(answer.outcome).toMatchObject({reason: 'schedulerLost'});
  });

  it('cancels no job that another caller waits for when a call times out', async () => {
    const fixture = new Fixture();
    fixture.localInstance = REMOTE;
    fixture.scheduleRemotely = () => new Promise(() => undefined);
    fixture.submitAndRecord(jobOf(2));
    await fixture.clock.advance(800);
    fixture.submitAndRecord(jobOf(2));
    await fixture.clock.advance(1_599);
    expect(fixture.cancelNoticesMs).toEqual([]);
    await fixture.clock.advance(1);
    expect(fixture.cancelNoticesMs).toEqual([2_400]);
  });

  // The request had waited unread, with the end of its connection behind it; its
  // caller had sent it again elsewhere.
  it('submits nothing for a caller whose leave is read after its request', async () => {
    const fixture = new Fixture();
    const caller = new AbortController();
    fixture.read = async () => {
      caller.abort();
      return fixture.clock.now();
    };
    const answer = fixture.submitAndRecord(jobOf(2), caller.signal);
    await fixture.clock.advance(100);
    expect(fixture.localJobs).toEqual([]);
    expect(answer.outcome).toMatchObject({
      kind: 'refused',
      reason: 'cancelled',
    });
  });

  it('submits no part for a caller whose leave is read after the quotes', async () => {
    const fixture = new Fixture();
    fixture.splitInTwo();
    const caller = new AbortController();
    let readings = 0;
    fixture.read = async () => {
      if (++readings > 1) {
        caller.abort();
      }
      return fixture.clock.now();
    };
    fixture.submitAndRecord(jobOf(2), caller.signal);
    await fixture.clock.advance(100);
    expect(fixture.localJobs.filter(job => job.isPromised)).toEqual([]);
    expect(fixture.remoteJobs).toEqual([]);
  });

  it('submits no job before what has arrived is read, and then that of a caller that stayed', async () => {
    const fixture = new Fixture();
    let endReading: (readUpToMs: number) => void = () => undefined;
    fixture.read = () => new Promise(resolve => (endReading = resolve));
    const answer = fixture.submitAndRecord(jobOf(2));
    await fixture.clock.advance(100);
    expect(fixture.localJobs).toEqual([]);
    endReading(100);
    await fixture.clock.advance(0);
    expect(answer.outcome).toEqual(COMPLETED);
  });

  // The process was paused after it had read, and before it submitted.
  it('submits nothing on a reading from before a pause, for a caller that left in it', async () => {
    const fixture = new Fixture();
    const caller = new AbortController();
    let readings = 0;
    fixture.read = async () => {
      const readUpToMs = fixture.clock.now();
      if (++readings === 1) {
        await fixture.clock.sleep(1_000);
      } else {
        caller.abort();
      }
      return readUpToMs;
    };
    fixture.submitAndRecord(jobOf(2), caller.signal);
    await fixture.clock.advance(1_100);
    expect(readings).toBe(2);
    expect(fixture.localJobs).toEqual([]);
  });

  // The process was paused between the reading and the write of the message.
  it('cancels at once a job that it sends after a pause, and submits it again for a caller that stays', async () => {
    const fixture = new Fixture();
    fixture.localInstance = REMOTE;
    const now = vi.spyOn(fixture.clock, 'now');
    fixture.scheduleRemotely = () => {
      if (fixture.remoteJobs.length > 1) {
        return Promise.resolve(COMPLETED);
      }
      const pausedMs = fixture.clock.now() + 1_000;
      now.mockImplementationOnce(() => pausedMs);
      return new Promise(resolve => {
        fixture.receiveCancel = () => resolve(NOT_STARTED);
      });
    };
    const answer = fixture.submitAndRecord(jobOf(2));
    await fixture.clock.advance(0);
    expect(fixture.cancelNoticesMs).toEqual([0]);
    await fixture.clock.advance(50);
    expect(answer.outcome).toEqual(COMPLETED);
    expect(fixture.remoteJobs).toHaveLength(2);
  });

  // The scheduler had stood still, and took the silence before it for one of the entry.
  it('submits a job once more that a scheduler has cancelled while its caller waits', async () => {
    const fixture = new Fixture();
    fixture.localInstance = REMOTE;
    fixture.scheduleRemotely = () =>
      Promise.resolve(fixture.remoteJobs.length > 1 ? COMPLETED : NOT_STARTED);
    expect(await fixture.submit(jobOf(2))).toEqual(COMPLETED);
    fixture.remoteJobs.length = 0;
    fixture.others = [];
    fixture.scheduleRemotely = () => Promise.resolve(NOT_STARTED);
    expect(await fixture.submit(jobOf(2))).toMatchObject({reason: 'cancelled'});
    expect(fixture.remoteJobs).toHaveLength(2);
  });

  it('refuses a job at its deadline if it can read nothing in time', async () => {
    const fixture = new Fixture();
    fixture.read = async () => {
      const readUpToMs = fixture.clock.now();
      await fixture.clock.sleep(400);
      return readUpToMs;
    };
    const answer = fixture.submitAndRecord(jobOf(2));
    await fixture.clock.advance(1_600);
    expect(answer.outcome).toMatchObject({kind: 'refused', reason: 'tooLate'});
    expect(fixture.localJobs).toEqual([]);
  });

  it('logs how long after the request was read its caller left, and which scheduler had the job', async () => {
    const fixture = new Fixture();
    fixture.scheduleLocally = () => new Promise(() => undefined);
    const caller = new AbortController();
    fixture.submitAndRecord(jobOf(2), caller.signal);
    await fixture.clock.advance(250);
    caller.abort();
    const left = fixture.log.events.find(({name}) => name === 'callerLeft');
    expect(left?.fields).toMatchObject({afterMs: 250, schedulers: [SELF]});
  });

  it('waits for a scheduler that takes over until the deadline at most', async () => {
    const fixture = new Fixture();
    fixture.isTakingOver = true;
    fixture.others = [];
    fixture.scheduleLocally = () =>
      Promise.resolve({...NOT_STARTED, reason: 'notScheduler'});
    const answer = fixture.submitAndRecord({...jobOf(2), leftMs: 100});
    await fixture.clock.advance(120);
    expect(answer.outcome).toMatchObject({reason: 'notScheduler'});
  });
});

describe('A job that is handed over', () => {
  const PLACED = {
    taskId: `${jobOf(1).id}.0.0.0` as TaskId,
    targetId: 'i-1' as TargetId,
    run: 1,
    isDone: false,
  };
  const HANDED_OVER: JobOutcome = {kind: 'handedOver', placed: [PLACED]};
  const NOT_GRANTED_YET: JobOutcome = {...NOT_STARTED, reason: 'notScheduler'};

  function createFixture(): Fixture {
    const fixture = new Fixture();
    fixture.successor = {...schedulerOf('centro', REMOTE).grant, token: 2};
    fixture.scheduleLocally = () => Promise.resolve(HANDED_OVER);
    return fixture;
  }

  it('waits for the next scheduler until its deadline at most', async () => {
    const fixture = createFixture();
    fixture.successor = undefined;
    await fixture.clock.advance(500);
    fixture.submitAndRecord({...jobOf(1), leftMs: 250});
    await fixture.clock.advance(250);
    expect(fixture.successorWaitsMs).toEqual([750]);
  });

  it('is answered by its deadline when the next scheduler refuses', async () => {
    const fixture = createFixture();
    fixture.scheduleRemotely = () => Promise.resolve(NOT_GRANTED_YET);
    const answer = fixture.submitAndRecord({...jobOf(1), leftMs: 250});
    await fixture.clock.advance(250);
    expect(answer.outcome).toMatchObject({reason: 'schedulerLost'});
  });

  // The instance that the log had granted the shard to had not applied the grant
  // yet, and the caller got 504 while its tasks ran.
  it('is taken over by a scheduler that learns of its grant only afterwards', async () => {
    const fixture = createFixture();
    let refusals = 3;
    fixture.scheduleRemotely = () =>
      Promise.resolve(refusals-- > 0 ? NOT_GRANTED_YET : COMPLETED);
    const answer = fixture.submitAndRecord(jobOf(1));
    await fixture.clock.advance(200);
    expect(answer.outcome).toEqual(COMPLETED);
    expect(fixture.remoteJobs.at(-1)!.placed).toEqual([PLACED]);
  });

  // The caller came back at once, to a scheduler that knew nothing of the runs.
  it.each(['refuses', 'is not found'])(
    'is not answered while its runs may go on when the next scheduler %s',
    async how => {
      const fixture = createFixture();
      fixture.scheduleRemotely = () => Promise.resolve(NOT_GRANTED_YET);
      if (how === 'is not found') {
        fixture.successor = undefined;
      }
      const answer = fixture.submitAndRecord(jobOf(1));
      await fixture.clock.advance(LEASE_MS - 1);
      expect(answer.outcome).toBeUndefined();
      await fixture.clock.advance(100);
      expect(answer.outcome).toEqual({
        kind: 'failed',
        reason: 'schedulerLost',
      });
    },
  );

  // A scheduler that was slow to take over got each job twenty times.
  it('is sent to a scheduler that refuses it a few times only', async () => {
    const fixture = createFixture();
    fixture.scheduleRemotely = () => Promise.resolve(NOT_GRANTED_YET);
    fixture.submitAndRecord(jobOf(1));
    await fixture.clock.advance(LEASE_MS + 100);
    expect(fixture.remoteJobs.length).toBeLessThanOrEqual(10);
  });

  it('is answered by its deadline when the next scheduler refuses', async () => {
    const fixture = createFixture();
    fixture.scheduleRemotely = () => Promise.resolve(NOT_GRANTED_YET);
    const answer = fixture.submitAndRecord({...jobOf(1), leftMs: 400});
    await fixture.clock.advance(500);
    expect(answer.outcome).toMatchObject({kind: 'failed'});
  });
});
