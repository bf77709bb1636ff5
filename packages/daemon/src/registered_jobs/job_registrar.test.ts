import type {
  InstanceId,
  JobEnd,
  JobId,
  JobRegistration,
  RegistrationId,
} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import {MemoryNetwork, VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {JobRegistrar} from './job_registrar.js';

const STATE = 'centro-state' as InstanceId;
const CENTRO = 'centro-1' as InstanceId;
const SERRA = 'serra-1' as InstanceId;
const RIBEIRA = 'ribeira-1' as InstanceId;
const JOB = '5c0e7a21d94b36f8' as JobId;
const RUNS_END_AFTER_LOSS_MS = 1_250;
/** Longest way of a message and its answer, in milliseconds. */
const ROUND_TRIP_MS = 3;

interface RegistrationFields {
  readonly waitMs?: number;
  readonly endsWithinMs?: number;
  readonly n?: number;
  readonly jobId?: JobId;
}

/** Registrar with entry instances that call it. */
class Group {
  readonly clock = VirtualClock.create();
  private readonly network = MemoryNetwork.create(
    this.clock,
    SeededRandom.create(1),
    1,
  );
  readonly registrar = JobRegistrar.create({
    clock: this.clock,
    network: this.network.join(STATE),
  });
  private readonly ends = new Map(
    [CENTRO, SERRA, RIBEIRA].map(id => [id, this.network.join(id)]),
  );

  /** Registers a job; the answer is set when it has come. */
  async register(
    from: InstanceId,
    opts?: RegistrationFields,
  ): Promise<{answer?: JobRegistration}> {
    const result = this.sendRegistration(from, opts);
    await this.clock.advance(ROUND_TRIP_MS);
    return result;
  }

  sendRegistration(
    from: InstanceId,
    {
      waitMs = 0,
      endsWithinMs = 8_000,
      n = 0,
      jobId = JOB,
    }: RegistrationFields = {},
  ): {answer?: JobRegistration} {
    const result: {answer?: JobRegistration} = {};
    const req = {
      jobId,
      registrationId: registrationOf(from, n),
      endsWithinMs,
      runsEndAfterLossMs: RUNS_END_AFTER_LOSS_MS,
      waitMs,
    };
    const opts = {timeoutMs: waitMs + 50};
    void this.ends
      .get(from)!
      .call(STATE, 'registerJob', req, opts)
      .then(({registration}) => (result.answer = registration));
    return result;
  }

  async release(from: InstanceId, end?: JobEnd, n = 0): Promise<void> {
    this.sendRelease(from, end, n);
    await this.clock.advance(ROUND_TRIP_MS);
  }

  sendRelease(
    from: InstanceId,
    end: JobEnd | undefined,
    n: number,
    jobId = JOB,
  ): void {
    const job = {jobId, registrationId: registrationOf(from, n), end};
    this.ends.get(from)!.notify(STATE, 'releasedJobs', {jobs: [job]});
  }

  async adopt(from: InstanceId): Promise<void> {
    const job = {
      jobId: JOB,
      registrationId: registrationOf(from, 0),
      endsWithinMs: 8_000,
      runsEndAfterLossMs: RUNS_END_AFTER_LOSS_MS,
    };
    this.ends.get(from)!.notify(STATE, 'registeredJobs', {jobs: [job]});
    await this.clock.advance(ROUND_TRIP_MS);
  }

  async endLostRuns(from: InstanceId, ofProcess: InstanceId): Promise<void> {
    const notice = {jobId: JOB, process: `${ofProcess}/7`};
    this.ends.get(from)!.notify(STATE, 'lostRunsEnded', notice);
    await this.clock.advance(ROUND_TRIP_MS);
  }
}

function registrationOf(instance: InstanceId, n: number): RegistrationId {
  return `${instance}/7/${n}` as RegistrationId;
}

describe('JobRegistrar', () => {
  it('grants a job to one process at a time', async () => {
    const group = new Group();
    const first = await group.register(CENTRO);
    const second = await group.register(SERRA);
    expect(first.answer).toEqual({kind: 'granted'});
    expect(second.answer).toEqual({kind: 'held'});
    await group.release(CENTRO);
    const third = await group.register(SERRA);
    expect(third.answer).toEqual({kind: 'granted'});
  });

  it('answers how a job has ended, for a while', async () => {
    const group = new Group();
    await group.register(CENTRO);
    const waiting = await group.register(SERRA, {waitMs: 1_000});
    await group.release(CENTRO, 'failed');
    const ended = {kind: 'ended', end: 'failed'};
    expect(waiting.answer).toEqual(ended);
    await group.clock.advance(20_000);
    const late = await group.register(RIBEIRA);
    expect(late.answer).toEqual(ended);
    await group.clock.advance(20_000);
    const later = await group.register(RIBEIRA);
    expect(later.answer).toEqual({kind: 'granted'});
    expect(group.registrar.endedJobs).toBe(0);
  });

  it('grants a released job to those that wait, one after the other', async () => {
    const group = new Group();
    await group.register(CENTRO);
    const serra = await group.register(SERRA, {waitMs: 1_000});
    const ribeira = await group.register(RIBEIRA, {waitMs: 1_000});
    await group.release(CENTRO);
    expect(serra.answer).toEqual({kind: 'granted'});
    expect(ribeira.answer).toBeUndefined();
    await group.release(SERRA);
    expect(ribeira.answer).toEqual({kind: 'granted'});
  });

  it('answers a registration that has waited for as long as it asked to', async () => {
    const group = new Group();
    await group.register(CENTRO);
    const serra = await group.register(SERRA, {waitMs: 100});
    await group.clock.advance(50);
    expect(serra.answer).toBeUndefined();
    await group.clock.advance(60);
    expect(serra.answer).toEqual({kind: 'held'});
    await group.release(CENTRO);
    const ribeira = await group.register(RIBEIRA);
    expect(ribeira.answer).toEqual({kind: 'granted'});
  });

  it('is not released by an earlier registration of the process that has the job', async () => {
    const group = new Group();
    await group.register(CENTRO);
    await group.register(CENTRO, {n: 1});
    await group.release(CENTRO, undefined, 0);
    const serra = await group.register(SERRA);
    expect(serra.answer).toEqual({kind: 'held'});
  });

  it('holds the job of a lost instance until its runs have ended', async () => {
    const group = new Group();
    await group.register(CENTRO);
    const serra = await group.register(SERRA, {waitMs: 5_000});
    group.registrar.recordLoss(CENTRO);
    await group.clock.advance(RUNS_END_AFTER_LOSS_MS - 1);
    expect(serra.answer).toBeUndefined();
    await group.clock.advance(ROUND_TRIP_MS);
    expect(serra.answer).toEqual({kind: 'granted'});
  });

  it('holds the job of a lost instance no longer when its scheduler has stopped the runs', async () => {
    const group = new Group();
    await group.register(CENTRO);
    const serra = await group.register(SERRA, {waitMs: 5_000});
    await group.endLostRuns(RIBEIRA, CENTRO);
    expect(serra.answer).toBeUndefined();
    group.registrar.recordLoss(CENTRO);
    await group.clock.advance(ROUND_TRIP_MS);
    expect(serra.answer).toEqual({kind: 'granted'});
  });

  it('holds the job of an instance that is linked again before its runs have ended', async () => {
    const group = new Group();
    await group.register(CENTRO);
    group.registrar.recordLoss(CENTRO);
    await group.clock.advance(100);
    await group.adopt(CENTRO);
    await group.clock.advance(2 * RUNS_END_AFTER_LOSS_MS);
    const serra = await group.register(SERRA);
    expect(serra.answer).toEqual({kind: 'held'});
  });

  it('does not grant a job to an instance that was lost while it waited', async () => {
    const group = new Group();
    await group.register(CENTRO);
    const serra = await group.register(SERRA, {waitMs: 5_000});
    const ribeira = await group.register(RIBEIRA, {waitMs: 5_000});
    group.registrar.recordLoss(SERRA);
    await group.release(CENTRO);
    expect(serra.answer).toEqual({kind: 'held'});
    expect(ribeira.answer).toEqual({kind: 'granted'});
  });

  it('frees a job that was never released when its runs have ended', async () => {
    const group = new Group();
    await group.register(CENTRO, {endsWithinMs: 500});
    await group.clock.advance(500);
    const serra = await group.register(SERRA);
    expect(serra.answer).toEqual({kind: 'granted'});
  });

  it('keeps a bounded number of ends', async () => {
    const group = new Group();
    for (let round = 0; round < 34; round++) {
      const jobs = Array.from({length: 500}, (_, n) => ({
        jobId: `job-${round}-${n}` as JobId,
        n: 500 * round + n,
      }));
      jobs.forEach(job => group.sendRegistration(CENTRO, job));
      await group.clock.advance(ROUND_TRIP_MS);
      expect(group.registrar.heldJobs).toBe(jobs.length);
      jobs.forEach(({jobId, n}) =>
        group.sendRelease(CENTRO, 'completed', n, jobId),
      );
      await group.clock.advance(ROUND_TRIP_MS);
    }
    expect(group.registrar.heldJobs).toBe(0);
    expect(group.registrar.endedJobs).toBe(16_384);
  });
});
