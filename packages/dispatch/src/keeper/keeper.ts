import type {Outcome, PoolDigest, ServiceId, Work} from '@papayarun/protocol';
import {DispatchError, refusalOf} from '@papayarun/protocol';
import {MergedSignal} from '../_lib/merged_signal.js';
import {Pool} from '../pool/pool.js';
import type {Slot} from '../pool/slot.js';
import {RetryBudget} from '../retry_budget/retry_budget.js';
import type {SendResult} from '../target_client/send_result.js';
import {nextHealth} from '../target_health/next_health.js';
import type {TargetRecord} from '../target_registry/target_record.js';
import type {KeeperOptions} from './keeper_options.js';

const MAX_SENDS = 4;
const BUSY_PAUSE_MS = 20;
const HEDGE_PERCENTILE = 95;
const HEDGE_FACTOR = 2;
/** Shorter waits aren't worth a second send. */
const MIN_HEDGE_MS = 500;
/** Lateness of the own timer that says this process was slow, not the target. */
const MAX_TIMER_LATENESS_MS = 50;
/** Later runs that must have finished before one counts as a straggler. */
const MIN_OVERTAKEN_BY = 16;
/** Longest run of work that may not be repeated, whatever its deadline. */
const MAX_UNREPEATABLE_RUN_MS = 60_000;

// Made once: an error with its stack is dear, and these carry nothing.
const ANSWERED_ELSEWHERE = DispatchError.notRun(
  'cancelled',
  'the other send answered first',
);
const DONE = 'done';

/** Counters of what the keeper has done, for metrics. */
export interface KeeperCounts {
  sends: number;
  busyRefusals: number;
  unreachable: number;
  retries: number;
  hedges: number;
  ejections: number;
}

/**
 * Sends work to the targets that this instance keeps.
 */
export class Keeper {
  readonly counts: KeeperCounts = {
    sends: 0,
    busyRefusals: 0,
    unreachable: 0,
    retries: 0,
    hedges: 0,
    ejections: 0,
  };
  private readonly pools = new Map<ServiceId, Pool>();
  private readonly kept = new Set<string>();
  private readonly retryBudget: RetryBudget;
  private readonly hedgeBudget: RetryBudget;

  private constructor(private readonly opts: KeeperOptions) {
    this.retryBudget = RetryBudget.create(opts.retryRatio);
    this.hedgeBudget = RetryBudget.create(opts.hedgeRatio);
  }

  /**
   * Makes a keeper that follows a registry.
   *
   * @param opts - Registry, client, policy and bounds.
   * @returns The keeper.
   * @example
   * const keeper = Keeper.create(opts);
   */
  static create(opts: KeeperOptions): Keeper {
    const keeper = new Keeper(opts);
    opts.registry.onChange(record => keeper.follow(record));
    return keeper;
  }

  /** Room by service. */
  digests(): Record<string, PoolDigest> {
    return Object.fromEntries(
      [...this.pools].map(([id, pool]) => [id, pool.digest()]),
    );
  }

  /** Pools by service. */
  allPools(): ReadonlyMap<ServiceId, Pool> {
    return this.pools;
  }

  /**
   * Runs work on a kept target.
   *
   * @param work - The work.
   * @param signal - Cancels it; its reason is a DispatchError.
   * @returns The outcome; errors are refusals in it.
   */
  async run(work: Work, signal: AbortSignal): Promise<Outcome> {
    const ending = MergedSignal.create([signal]);
    ending.abortAfter(work.deadlineMs, () =>
      DispatchError.notRun('deadline', 'the deadline has passed'),
    );
    try {
      return await this.sendUntilDone(work, ending.signal);
    } catch (err) {
      return this.refused(work, err);
    } finally {
      ending.dispose();
    }
  }

  private async sendUntilDone(
    work: Work,
    signal: AbortSignal,
  ): Promise<Outcome> {
    const pool = this.poolOf(work.service);
    this.retryBudget.deposit();
    this.hedgeBudget.deposit();
    for (let sends = 1; ; sends++) {
      const slot = await pool.acquire(work, signal);
      const result = await this.sendOnce(pool, slot, work, signal);
      if (
        signal.aborted ||
        sends === MAX_SENDS ||
        !this.maySendAgain(result, work)
      ) {
        return result.outcome;
      }
      this.logRetry(work, slot.record, result);
    }
  }

  /** Whether another send is safe and worth its cost. */
  private maySendAgain(result: SendResult, work: Work): boolean {
    switch (result.sign) {
      case 'succeeded':
      case 'cancelled':
        return false;
      case 'unreachable':
        // No byte was sent, so it costs the targets nothing.
        return true;
      case 'busy':
        return this.retryBudget.take();
      case 'failed':
        return work.repeatable && this.retryBudget.take();
      default:
        return result.sign satisfies never;
    }
  }

  private async sendOnce(
    pool: Pool,
    slot: Slot,
    work: Work,
    signal: AbortSignal,
  ): Promise<SendResult> {
    const hedgeAfterMs = this.hedgeDelay(pool, work);
    if (hedgeAfterMs !== undefined) {
      return this.sendHedged(pool, slot, work, signal, hedgeAfterMs);
    }
    const mayStop = work.repeatable || work.needs !== undefined;
    return mayStop
      ? this.sendTo(pool, slot, work, signal)
      : this.sendToTheEnd(pool, slot, work);
  }

  /** Sends work that must not be cut off by its deadline once it was sent. */
  private async sendToTheEnd(
    pool: Pool,
    slot: Slot,
    work: Work,
  ): Promise<SendResult> {
    const limit = MergedSignal.create([]);
    limit.abortAfter(MAX_UNREPEATABLE_RUN_MS, () =>
      DispatchError.mayHaveRun('deadline', 'no answer within the run limit'),
    );
    try {
      return await this.sendTo(pool, slot, work, limit.signal);
    } finally {
      limit.dispose();
    }
  }

  /** Sends, and once more after a while if no answer came; first answer wins. */
  private async sendHedged(
    pool: Pool,
    slot: Slot,
    work: Work,
    signal: AbortSignal,
    hedgeAfterMs: number,
  ): Promise<SendResult> {
    const startedMs = this.opts.clock.now();
    const firstEnd = MergedSignal.create([signal]);
    const secondEnd = MergedSignal.create([signal]);
    try {
      const first = this.sendTo(pool, slot, work, firstEnd.signal);
      const early = await this.within(first, hedgeAfterMs);
      if (
        early ||
        signal.aborted ||
        !this.isStraggler(pool, startedMs, hedgeAfterMs)
      ) {
        return early ?? (await first);
      }
      this.counts.hedges++;
      this.opts.log.emit('hedged', {
        requestId: work.requestId,
        target: slot.record.id,
        hedgeAfterMs,
      });
      const second = pool
        .acquire(work, secondEnd.signal)
        .then(other => this.sendTo(pool, other, work, secondEnd.signal));
      return await firstGood(first, second);
    } finally {
      firstEnd.abort(ANSWERED_ELSEWHERE);
      secondEnd.abort(ANSWERED_ELSEWHERE);
      firstEnd.dispose();
      secondEnd.dispose();
    }
  }

  /** The result if it comes within a time, else undefined. */
  private async within(
    result: Promise<SendResult>,
    ms: number,
  ): Promise<SendResult | undefined> {
    const timer = new AbortController();
    const late = this.opts.clock.sleep(ms, timer.signal).then(() => undefined);
    const early = await Promise.race([result, late]);
    timer.abort(DONE);
    return early;
  }

  /** Whether a run is slow while the others aren't, and a hedge is affordable. */
  private isStraggler(
    pool: Pool,
    startedMs: number,
    hedgeAfterMs: number,
  ): boolean {
    const lateMs = this.opts.clock.now() - startedMs - hedgeAfterMs;
    return (
      lateMs <= MAX_TIMER_LATENESS_MS &&
      pool.digest().free > 0 &&
      pool.runTimes.finishedSince(startedMs) >= MIN_OVERTAKEN_BY &&
      this.hedgeBudget.take()
    );
  }

  private hedgeDelay(pool: Pool, work: Work): number | undefined {
    if (!work.repeatable || work.needs) {
      return undefined;
    }
    const quantileMs = pool.runTimes.quantileMs(work.kind, HEDGE_PERCENTILE);
    return quantileMs && Math.max(MIN_HEDGE_MS, HEDGE_FACTOR * quantileMs);
  }

  private async sendTo(
    pool: Pool,
    slot: Slot,
    work: Work,
    signal: AbortSignal,
  ): Promise<SendResult> {
    this.counts.sends++;
    try {
      const release = this.opts.policy.release();
      const result = await this.opts.client.send(
        slot.record,
        work,
        release,
        signal,
      );
      this.learn(pool, slot.record, work, result);
      return result;
    } finally {
      slot.release();
    }
  }

  private learn(
    pool: Pool,
    record: TargetRecord,
    work: Work,
    result: SendResult,
  ): void {
    switch (result.sign) {
      case 'succeeded':
        pool.runTimes.record(
          work.kind,
          result.runMs,
          this.opts.clock.now() - result.runMs,
        );
        this.updateHealth(pool, record, 'succeeded');
        return;
      case 'failed':
        this.updateHealth(pool, record, 'failed');
        return;
      case 'unreachable':
        this.counts.unreachable++;
        this.updateHealth(pool, record, 'unreachable');
        return;
      case 'busy':
        this.counts.busyRefusals++;
        record.busyUntilMs = this.opts.clock.now() + BUSY_PAUSE_MS;
        void this.opts.clock.sleep(BUSY_PAUSE_MS + 1).then(() => pool.wake());
        return;
      case 'cancelled':
        return;
      default:
        result.sign satisfies never;
    }
  }

  private updateHealth(
    pool: Pool,
    record: TargetRecord,
    result: 'succeeded' | 'failed' | 'unreachable',
  ): void {
    const before = record.health;
    record.health = nextHealth(before, result, this.opts.clock.now());
    if (before.kind === record.health.kind) {
      return;
    }
    if (record.health.kind === 'ejected') {
      this.counts.ejections++;
      this.opts.log.emit('targetEjected', {
        target: record.id,
        health: record.health,
      });
    } else {
      this.opts.log.emit('targetHealed', {target: record.id});
    }
    pool.wake();
  }

  private follow(record: TargetRecord): void {
    const {service, state} = record.announcement;
    const pool = this.poolOf(service);
    const isKept = record.kept && state === 'ready';
    if (isKept !== this.kept.has(record.id)) {
      this.noteKept(record, isKept);
    }
    pool.update(record);
  }

  private noteKept(record: TargetRecord, isKept: boolean): void {
    const fields = {target: record.id, service: record.announcement.service};
    if (isKept) {
      this.kept.add(record.id);
      this.opts.log.emit('targetAdded', {
        ...fields,
        slots: record.announcement.slots,
      });
      return;
    }
    this.kept.delete(record.id);
    const leaving = record.announcement.state === 'leaving';
    this.opts.log.emit(leaving ? 'targetLeaving' : 'targetGone', fields);
    if (record.inFlight === 0) {
      this.opts.client.forget(record.id);
    }
  }

  private poolOf(service: ServiceId): Pool {
    let pool = this.pools.get(service);
    if (!pool) {
      const {clock, random, policy, log, maxWaiting} = this.opts;
      pool = Pool.create({service, clock, random, policy, log, maxWaiting});
      this.pools.set(service, pool);
    }
    return pool;
  }

  private refused(work: Work, err: unknown): Outcome {
    const refusal = refusalOf(err);
    this.opts.log.emit('refused', {
      requestId: work.requestId,
      kind: work.kind,
      code: refusal.code,
      verdict: refusal.verdict.kind,
    });
    return {kind: 'refused', refusal};
  }

  private logRetry(work: Work, record: TargetRecord, result: SendResult): void {
    this.counts.retries++;
    this.opts.log.emit('retried', {
      requestId: work.requestId,
      after: record.id,
      sign: result.sign,
    });
  }
}

/** The first send that succeeded, else the last one that ended. */
async function firstGood(
  first: Promise<SendResult>,
  second: Promise<SendResult>,
): Promise<SendResult> {
  const good = async (send: Promise<SendResult>): Promise<SendResult> => {
    const result = await send;
    if (result.sign !== 'succeeded') {
      throw new Error(result.sign);
    }
    return result;
  };
  try {
    return await Promise.any([good(first), good(second)]);
  } catch {
    return first;
  }
}
