import type {Outcome, PoolDigest, ServiceId, Work} from '@papayarun/protocol';
import {DispatchError, refusalFromError} from '@papayarun/protocol';
import {MergedSignal} from '../_lib/merged_signal.js';
import {Pool} from '../pool/pool.js';
import type {Slot} from '../pool/slot.js';
import {RetryBudget} from '../retry_budget/retry_budget.js';
import type {SendResult} from '../target_client/send_result.js';
import {nextHealth} from '../target_health/next_health.js';
import type {TargetRecord} from '../target_registry/target_record.js';
import type {KeeperOptions} from './keeper_options.js';

/** Sends of one piece of work, the first one included and hedges excluded. */
const MAX_SEND_ATTEMPTS = 4;
/** Time without new work for a target that refused work as busy, in milliseconds. */
const BUSY_BACKOFF_MS = 20;
/** Percentile of the run times of a kind from which the hedge delay is derived. */
const HEDGE_PERCENTILE = 95;
/** Multiple of the run time at HEDGE_PERCENTILE after which a send is hedged. */
const HEDGE_FACTOR = 2;
/**
 * Shortest hedge delay in milliseconds; a shorter wait does not justify the cost
 * of a second send.
 */
const MIN_HEDGE_MS = 500;
/**
 * Lateness of the hedge timer in milliseconds above which this process is
 * assumed to be slow rather than the target, so that no hedge is sent.
 */
const MAX_TIMER_LATENESS_MS = 50;
/** Runs that must have started later and finished before a run counts as a straggler. */
const MIN_LATER_FINISHED_RUNS = 16;
/** Run limit of work that must not be repeated, whatever its deadline, in milliseconds. */
const MAX_NON_REPEATABLE_RUN_MS = 60_000;

/**
 * Abort reason of the slower of two hedged sends. It is shared by all of them,
 * because an error with its stack trace is expensive to create and this one
 * carries no details of a request.
 */
const OTHER_SEND_ANSWERED = DispatchError.notRun(
  'cancelled',
  'the other of two hedged sends answered first',
);
/**
 * Abort reason of a hedge timer that is no longer needed. It is a shared string,
 * because an abort without a reason creates an error with its stack trace, which
 * is expensive.
 */
const TIMER_CANCELLED = 'done';

/** Counters of a keeper, for metrics. */
export interface KeeperCounts {
  sends: number;
  busyRefusals: number;
  unreachable: number;
  retries: number;
  hedges: number;
  ejections: number;
}

/**
 * Sends work to the targets whose keeper is this instance.
 *
 * @description The keeper of a target is the instance that queues work for it
 * and sends work to it.
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
  private readonly keptTargets = new Set<string>();
  private readonly retryBudget: RetryBudget;
  private readonly hedgeBudget: RetryBudget;

  private constructor(private readonly opts: KeeperOptions) {
    this.retryBudget = RetryBudget.create(opts.retryRatio);
    this.hedgeBudget = RetryBudget.create(opts.hedgeRatio);
  }

  /**
   * Creates a keeper that is updated by the changes of a registry.
   *
   * @param opts - Registry, client, policy and bounds.
   * @returns The keeper.
   * @example
   * const keeper = Keeper.create(opts);
   */
  static create(opts: KeeperOptions): Keeper {
    const keeper = new Keeper(opts);
    opts.registry.onChange(record => keeper.updateTarget(record));
    return keeper;
  }

  /** Capacity and load of this instance, by service. */
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
   * Runs work on one of the targets that this instance keeps.
   *
   * @param work - The work.
   * @param signal - Cancels the work; its reason is a DispatchError.
   * @returns The outcome; errors are returned as refusals.
   */
  async run(work: Work, signal: AbortSignal): Promise<Outcome> {
    const cancellation = MergedSignal.create([signal]);
    cancellation.abortAfter(work.deadlineMs, () =>
      DispatchError.notRun('deadline', 'the deadline has passed'),
    );
    try {
      return await this.sendWithRetries(work, cancellation.signal);
    } catch (err) {
      return this.refusedOutcome(work, err);
    } finally {
      cancellation.dispose();
    }
  }

  private async sendWithRetries(
    work: Work,
    signal: AbortSignal,
  ): Promise<Outcome> {
    const pool = this.poolOf(work.service);
    this.retryBudget.deposit();
    this.hedgeBudget.deposit();
    for (let attempt = 1; ; attempt++) {
      const slot = await pool.acquire(work, signal);
      const result = await this.sendOnce(pool, slot, work, signal);
      if (
        signal.aborted ||
        attempt === MAX_SEND_ATTEMPTS ||
        !this.mayRetry(result, work)
      ) {
        return result.outcome;
      }
      this.logRetry(work, slot.record, result);
    }
  }

  /** Whether a retry is safe and within the retry budget. */
  private mayRetry(result: SendResult, work: Work): boolean {
    switch (result.resultKind) {
      case 'succeeded':
      case 'cancelled':
        return false;
      case 'unreachable':
        // No byte was sent, so the retry adds no load to the targets.
        return true;
      case 'busy':
        return this.retryBudget.tryWithdraw();
      case 'failed':
        return work.repeatable && this.retryBudget.tryWithdraw();
      default:
        return result.resultKind satisfies never;
    }
  }

  private async sendOnce(
    pool: Pool,
    slot: Slot,
    work: Work,
    signal: AbortSignal,
  ): Promise<SendResult> {
    const hedgeAfterMs = this.hedgeDelayMs(pool, work);
    if (hedgeAfterMs !== undefined) {
      return this.sendHedged(pool, slot, work, signal, hedgeAfterMs);
    }
    const mayInterrupt = work.repeatable || work.needs !== undefined;
    return mayInterrupt
      ? this.sendTo(pool, slot, work, signal)
      : this.sendUninterrupted(pool, slot, work);
  }

  /**
   * Sends work that must not be interrupted by its deadline or by a
   * cancellation once it was sent; only the run limit ends it.
   */
  private async sendUninterrupted(
    pool: Pool,
    slot: Slot,
    work: Work,
  ): Promise<SendResult> {
    const runLimit = MergedSignal.create([]);
    runLimit.abortAfter(MAX_NON_REPEATABLE_RUN_MS, () =>
      DispatchError.mayHaveRun(
        'deadline',
        'no answer within the run limit of non-repeatable work',
      ),
    );
    try {
      return await this.sendTo(pool, slot, work, runLimit.signal);
    } finally {
      runLimit.dispose();
    }
  }

  /**
   * Sends work, and sends it once more to another target with a free slot if no
   * answer came within the hedge delay; the first successful answer is used.
   */
  private async sendHedged(
    pool: Pool,
    slot: Slot,
    work: Work,
    signal: AbortSignal,
    hedgeAfterMs: number,
  ): Promise<SendResult> {
    const startedMs = this.opts.clock.now();
    const firstCancellation = MergedSignal.create([signal]);
    const secondCancellation = MergedSignal.create([signal]);
    try {
      const first = this.sendTo(pool, slot, work, firstCancellation.signal);
      const earlyResult = await this.resultWithin(first, hedgeAfterMs);
      if (earlyResult || signal.aborted) {
        return earlyResult ?? (await first);
      }
      const shouldHedge =
        this.isStraggler(pool, startedMs, hedgeAfterMs) &&
        pool.hasFreeSlotElsewhere(work, slot.record) &&
        this.hedgeBudget.tryWithdraw();
      const hedgeSlot = shouldHedge
        ? pool.acquireElsewhere(work, slot.record)
        : undefined;
      if (!hedgeSlot) {
        return await first;
      }
      this.counts.hedges++;
      this.opts.log.emit('hedged', {
        requestId: work.requestId,
        target: slot.record.id,
        hedgeTarget: hedgeSlot.record.id,
        hedgeAfterMs,
      });
      const second = this.sendTo(
        pool,
        hedgeSlot,
        work,
        secondCancellation.signal,
      );
      return await firstSuccessful(first, second);
    } finally {
      firstCancellation.abort(OTHER_SEND_ANSWERED);
      secondCancellation.abort(OTHER_SEND_ANSWERED);
      firstCancellation.dispose();
      secondCancellation.dispose();
    }
  }

  /** The result if it arrives within the given time, else undefined. */
  private async resultWithin(
    result: Promise<SendResult>,
    ms: number,
  ): Promise<SendResult | undefined> {
    const timer = new AbortController();
    const timeout = this.opts.clock
      .sleep(ms, timer.signal)
      .then(() => undefined);
    const earlyResult = await Promise.race([result, timeout]);
    timer.abort(TIMER_CANCELLED);
    return earlyResult;
  }

  /** Whether a run is slow compared with others, and not this process. */
  private isStraggler(
    pool: Pool,
    startedMs: number,
    hedgeAfterMs: number,
  ): boolean {
    const timerLatenessMs = this.opts.clock.now() - startedMs - hedgeAfterMs;
    return (
      timerLatenessMs <= MAX_TIMER_LATENESS_MS &&
      pool.runTimes.finishedRunsStartedAfter(startedMs) >=
        MIN_LATER_FINISHED_RUNS
    );
  }

  private hedgeDelayMs(pool: Pool, work: Work): number | undefined {
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
      this.recordResult(pool, slot.record, work, result);
      return result;
    } finally {
      slot.release();
    }
  }

  private recordResult(
    pool: Pool,
    record: TargetRecord,
    work: Work,
    result: SendResult,
  ): void {
    switch (result.resultKind) {
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
        record.busyUntilMs = this.opts.clock.now() + BUSY_BACKOFF_MS;
        void this.opts.clock
          .sleep(BUSY_BACKOFF_MS + 1)
          .then(() => pool.refresh());
        return;
      case 'cancelled':
        return;
      default:
        result.resultKind satisfies never;
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
    pool.refresh();
  }

  private updateTarget(record: TargetRecord): void {
    const {service, state} = record.announcement;
    const pool = this.poolOf(service);
    const isKept = record.kept && state === 'ready';
    if (isKept !== this.keptTargets.has(record.id)) {
      this.recordKeptChange(record, isKept);
    }
    pool.update(record);
  }

  private recordKeptChange(record: TargetRecord, isKept: boolean): void {
    const fields = {target: record.id, service: record.announcement.service};
    if (isKept) {
      this.keptTargets.add(record.id);
      this.opts.log.emit('targetAdded', {
        ...fields,
        slots: record.announcement.slots,
      });
      return;
    }
    this.keptTargets.delete(record.id);
    const leaving = record.announcement.state === 'leaving';
    this.opts.log.emit(leaving ? 'targetLeaving' : 'targetGone', fields);
    if (record.inFlight === 0) {
      this.opts.client.closeConnections(record.id);
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

  private refusedOutcome(work: Work, err: unknown): Outcome {
    const refusal = refusalFromError(err);
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
      sign: result.resultKind,
    });
  }
}

/** The result of the send that succeeds first, else that of the first send. */
async function firstSuccessful(
  first: Promise<SendResult>,
  second: Promise<SendResult>,
): Promise<SendResult> {
  const successful = async (send: Promise<SendResult>): Promise<SendResult> => {
    const result = await send;
    if (result.resultKind !== 'succeeded') {
      throw new Error(result.resultKind);
    }
    return result;
  };
  try {
    return await Promise.any([successful(first), successful(second)]);
  } catch {
    return first;
  }
}
