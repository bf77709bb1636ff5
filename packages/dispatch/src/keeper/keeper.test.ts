import type {
  Announcement,
  CallerId,
  InstanceId,
  JobId,
  KindId,
  Outcome,
  RequestId,
  Resources,
  ServiceId,
  TeamId,
  Work,
} from '@papayarun/protocol';
import {DispatchError, SeededRandom, SystemClock} from '@papayarun/protocol';
import {FakeTarget} from '@papayarun/stand_ins';
import {SilentLog} from '@papayarun/test_kit';
import {afterEach, describe, expect, it} from 'vitest';
import type {Policy} from '../policy/policy.js';
import {TargetClient} from '../target_client/target_client.js';
import {TargetRegistry} from '../target_registry/target_registry.js';
import {Keeper} from './keeper.js';

const SERVICE = 'booking' as ServiceId;
const SELF = 'centro-1' as InstanceId;
/** Run time of a request that is slower than the shortest hedge delay. */
const STRAGGLER_MS = 1_500;
const NEVER_ABORTED = new AbortController().signal;

const POLICY: Policy = {
  release: () => 1,
  weightOf: () => 1,
  totalWeight: () => 1,
  teamFraction: team => (team === 'quarter' ? 0.25 : 1),
  callerFraction: () => 1,
  whenCutOff: () => 'serve',
};

/** Keeper with real HTTP targets in the test process. */
class Fixture {
  readonly clock = SystemClock.create();
  readonly log = SilentLog.create();
  readonly registry = TargetRegistry.create({
    self: SELF,
    clock: this.clock,
    timeoutMs: 60_000,
    handoverMs: 100,
    liveInstances: () => [SELF],
    isDraining: () => false,
    forwardAnnouncement: () => undefined,
  });
  readonly client = TargetClient.create({
    clock: this.clock,
    maxAnswerBytes: 1 << 20,
    connectTimeoutMs: 500,
    taskLeaseMs: 1_000,
  });
  readonly keeper = Keeper.create({
    clock: this.clock,
    random: SeededRandom.create(60),
    policy: POLICY,
    log: this.log,
    registry: this.registry,
    client: this.client,
    maxWaiting: 20_000,
    retryRatio: 0.1,
    hedgeRatio: 0.05,
  });
  readonly targets: FakeTarget[] = [];
  private readonly sweeper = setInterval(() => this.registry.sweep(), 50);
  private requestCount = 0;

  async add(count: number, slots: number, worker?: Resources): Promise<void> {
    for (let n = 0; n < count; n++) {
      const target = await FakeTarget.create({
        targetId: `t${this.targets.length}`,
        service: SERVICE,
        slots,
        announcePorts: () => [],
        worker: worker && {rack: `r${n % 2}`, ...worker},
      });
      this.targets.push(target);
      this.registry.accept(
        target.nextAnnouncement() as unknown as Announcement,
      );
    }
  }

  work(runMs: number, overrides: Partial<Work> = {}): Work {
    return {
      requestId: `r${++this.requestCount}` as RequestId,
      service: SERVICE,
      kind: 'default' as KindId,
      caller: 'c' as CallerId,
      team: 't' as TeamId,
      urgency: 1,
      deadlineMs: 20_000,
      repeatable: true,
      path: '/run',
      contentType: 'application/json',
      body: Buffer.from(JSON.stringify({runMs})),
      ...overrides,
    };
  }

  run(
    runMs: number,
    overrides: Partial<Work> = {},
    signal: AbortSignal = NEVER_ABORTED,
  ): Promise<Outcome> {
    return this.keeper.run(this.work(runMs, overrides), signal);
  }

  /** Runs many requests with limited concurrency. */
  async runMany(
    count: number,
    concurrency: number,
    runMs: number,
    overrides: Partial<Work> = {},
  ): Promise<Outcome[]> {
    const outcomes: Outcome[] = [];
    let left = count;
    const loop = async (): Promise<void> => {
      while (left-- > 0) {
        outcomes.push(await this.run(runMs, overrides));
      }
    };
    await Promise.all(Array.from({length: concurrency}, loop));
    return outcomes;
  }

  get starts(): number {
    return this.targets.reduce((sum, target) => sum + target.totalStarts, 0);
  }

  async close(): Promise<void> {
    clearInterval(this.sweeper);
    this.client.close();
    await Promise.all(
      this.targets.map(target => target.close().catch(() => undefined)),
    );
  }
}

function successCount(outcomes: readonly Outcome[]): number {
  return outcomes.filter(o => o.kind === 'answered' && o.answer.status === 200)
    .length;
}

describe('Keeper', () => {
  let fixture: Fixture;

  afterEach(() => fixture.close());

  it('loses no repeatable request and sends at most 10 % more when a third of the targets die', async () => {
    fixture = new Fixture();
    await fixture.add(9, 8);
    const running = fixture.runMany(1_500, 60, 10);
    await new Promise(resolve => setTimeout(resolve, 100));
    await Promise.all(
      fixture.targets.slice(0, 3).map(target => target.close()),
    );
    const outcomes = await running;
    expect(outcomes.length).toBe(1_500);
    const lost = outcomes.length - successCount(outcomes);
    expect(lost).toBeLessThanOrEqual(24);
    expect(fixture.starts).toBeLessThanOrEqual(1_500 * 1.1);
    expect(fixture.keeper.counts.ejections).toBeGreaterThanOrEqual(3);
  });

  it('ejects targets that fail every request and uses them again once they recover', async () => {
    fixture = new Fixture();
    await fixture.add(6, 4);
    const bad = fixture.targets.slice(0, 2);
    bad.forEach(target => (target.fault = 'fail'));
    const outcomes = await fixture.runMany(600, 20, 10);
    const failedStarts = bad.reduce(
      (sum, target) => sum + target.totalStarts,
      0,
    );
    // Each target fails five requests in a row and those in progress meanwhile; probation adds one at a time.
    expect(failedStarts).toBeLessThanOrEqual(2 * (5 + 4 + 2));
    expect(successCount(outcomes)).toBeGreaterThanOrEqual(600 - failedStarts);
    bad.forEach(target => (target.fault = 'none'));
    const before = failedStarts;
    await new Promise(resolve => setTimeout(resolve, 4_500));
    await fixture.runMany(600, 20, 5);
    const after = bad.reduce((sum, target) => sum + target.totalStarts, 0);
    expect(after - before).toBeGreaterThan(50);
    expect(fixture.keeper.digests()[SERVICE]).toMatchObject({
      slots: 24,
      free: 24,
      queued: 0,
      kinds: {},
    });
  });

  it('counts free slots correctly when a target is ejected with requests in progress', async () => {
    fixture = new Fixture();
    await fixture.add(3, 4);
    const running = fixture.runMany(12, 12, 200);
    await new Promise(resolve => setTimeout(resolve, 50));
    const record = fixture.registry.all()[0]!;
    record.health = {kind: 'ejected', untilMs: Infinity, ejections: 1};
    fixture.keeper.allPools().get(SERVICE)!.refresh();
    expect(fixture.keeper.digests()[SERVICE]).toMatchObject({
      slots: 8,
      free: 0,
    });
    await running;
    expect(fixture.keeper.digests()[SERVICE]).toMatchObject({
      slots: 8,
      free: 8,
    });
  });

  it('keeps trying all targets when all fail, with one request at a time each', async () => {
    fixture = new Fixture();
    await fixture.add(4, 4);
    fixture.targets.forEach(target => (target.fault = 'fail'));
    await fixture.runMany(100, 10, 5);
    expect(fixture.keeper.counts.ejections).toBeGreaterThanOrEqual(3);
    fixture.targets.forEach(target => (target.fault = 'none'));
    const outcomes = await fixture.runMany(50, 5, 5);
    expect(successCount(outcomes)).toBe(50);
  });

  it('frees all slots and queue entries when 10,000 waiting and running requests are cancelled at once', async () => {
    fixture = new Fixture();
    await fixture.add(4, 8);
    const cancel = new AbortController();
    const wave = Array.from({length: 10_000}, () =>
      fixture.run(5_000, {deadlineMs: 600_000_000}, cancel.signal),
    );
    await new Promise(resolve => setTimeout(resolve, 200));
    const startsBefore = fixture.starts;
    expect(startsBefore).toBe(32);
    const cancelledAtMs = performance.now();
    cancel.abort(DispatchError.notRun('cancelled', 'wave'));
    const other = await fixture.run(10, {caller: 'other' as CallerId});
    const tookMs = performance.now() - cancelledAtMs;
    const outcomes = await Promise.all(wave);
    expect(successCount([other])).toBe(1);
    expect(tookMs).toBeLessThan(1_000);
    expect(fixture.keeper.allPools().get(SERVICE)!.waiting).toBe(0);
    expect(fixture.starts).toBe(startsBefore + 1);
    const notRun = outcomes.filter(
      o => o.kind === 'refused' && o.refusal.verdict.kind === 'notRun',
    );
    expect(notRun.length).toBe(10_000 - 32);
  });

  it('replaces declared run times that are 10 times too high or too low by learned ones', async () => {
    fixture = new Fixture();
    await fixture.add(2, 4);
    for (const declaredRunMs of [1, 200]) {
      const outcomes = await fixture.runMany(120, 16, 20, {
        declaredRunMs,
        deadlineMs: 2_000,
      });
      expect(successCount(outcomes)).toBe(120);
    }
    const pool = fixture.keeper.allPools().get(SERVICE)!;
    expect(pool.runTimes.expectedMs('default' as KindId, 200)).toBeLessThan(
      100,
    );
  });

  it('keeps a team within its quota while other teams use the remaining slots', async () => {
    fixture = new Fixture();
    await fixture.add(2, 8);
    const quarter = fixture.runMany(80, 40, 30, {team: 'quarter' as TeamId});
    let maxRunning = 0;
    const watch = setInterval(() => {
      maxRunning = Math.max(
        maxRunning,
        fixture.targets.reduce((sum, target) => sum + target.running, 0),
      );
    }, 2);
    await quarter;
    clearInterval(watch);
    expect(maxRunning).toBe(4);
    expect(successCount(await fixture.runMany(80, 40, 5))).toBe(80);
  });

  it('never overcommits a worker, starves no large task and refuses tasks that fit no worker', async () => {
    fixture = new Fixture();
    await fixture.add(2, 64, {cores: 8, memoryMb: 1_000, accelerators: 0});
    const task = (memoryMb: number): Partial<Work> => ({
      needs: {cores: 1, memoryMb, accelerators: 0},
      repeatable: false,
      path: '/v1/tasks',
      job: 'job' as JobId,
    });
    const never = await fixture.run(1, task(1_001));
    expect(never).toMatchObject({
      refusal: {code: 'neverFits', verdict: {kind: 'notRun'}},
    });
    let overcommits = 0;
    const watch = setInterval(() => {
      overcommits += fixture.registry
        .all()
        .filter(r => r.placed.memoryMb > 1_000 || r.placed.cores > 8).length;
    }, 2);
    const small = fixture.runMany(400, 30, 200, task(200));
    await new Promise(resolve => setTimeout(resolve, 100));
    const startedMs = performance.now();
    expect(successCount([await fixture.run(10, task(1_000))])).toBe(1);
    const waitedMs = performance.now() - startedMs;
    clearInterval(watch);
    expect(overcommits).toBe(0);
    expect(waitedMs).toBeLessThan(6_000);
    expect(successCount(await small)).toBe(400);
    expect(
      fixture.targets.every(target =>
        [...target.starts.values()].every(n => n === 1),
      ),
    ).toBe(true);
  });

  it('sends a straggling request to another target, within the hedge budget', async () => {
    fixture = new Fixture();
    await fixture.add(3, 8);
    await fixture.runMany(300, 12, 20);
    const slow = fixture.targets[0]!;
    slow.fault = 'slow';
    const outcomes = await fixture.runMany(240, 12, 200);
    expect(successCount(outcomes)).toBe(240);
    const {hedges, sends} = fixture.keeper.counts;
    expect(hedges).toBeGreaterThan(0);
    expect(hedges).toBeLessThanOrEqual(0.05 * sends + 5);
    expect(fixture.starts).toBe(sends);
  });

  it('does not hedge to the target that already has the request', async () => {
    fixture = new Fixture();
    await fixture.add(1, 16);
    await fixture.runMany(100, 8, 5);
    const straggler = fixture.work(STRAGGLER_MS);
    const outcome = fixture.keeper.run(straggler, NEVER_ABORTED);
    await fixture.runMany(500, 4, 5);
    expect(successCount([await outcome])).toBe(1);
    expect(fixture.targets[0]!.starts.get(straggler.requestId)).toBe(1);
    expect(fixture.keeper.counts.hedges).toBe(0);
  });

  it('hedges to another target also if the first one has a lower load', async () => {
    fixture = new Fixture();
    await fixture.add(1, 64);
    await fixture.runMany(100, 8, 5);
    const stragglers = Array.from({length: 8}, () =>
      fixture.work(STRAGGLER_MS),
    );
    const outcomes: Array<Promise<Outcome>> = [];
    for (const straggler of stragglers) {
      outcomes.push(fixture.keeper.run(straggler, NEVER_ABORTED));
      await fixture.runMany(20, 4, 5);
    }
    await fixture.add(1, 2);
    await fixture.runMany(400, 4, 5);
    expect(successCount(await Promise.all(outcomes))).toBe(stragglers.length);
    const [first, other] = fixture.targets;
    for (const {requestId} of stragglers) {
      expect(first!.starts.get(requestId)).toBe(1);
    }
    const hedged = stragglers.filter(w => other!.starts.has(w.requestId));
    expect(hedged.length).toBe(fixture.keeper.counts.hedges);
    expect(hedged.length).toBeGreaterThan(0);
  });

  it('sends no request twice that is answered quickly', async () => {
    fixture = new Fixture();
    await fixture.add(3, 16);
    await fixture.runMany(3_000, 48, 5);
    expect(fixture.keeper.counts).toMatchObject({
      sends: 3_000,
      hedges: 0,
      retries: 0,
    });
    expect(fixture.starts).toBe(3_000);
  });
});
