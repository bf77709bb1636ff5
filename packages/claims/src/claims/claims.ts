import type {
  ClaimRecord,
  InstanceId,
  Outcome,
  OwnerAnswerCall,
  RequestKey,
} from '@papayarun/protocol';
import {
  DispatchError,
  parseRequestKey,
  REFUSAL_VERSION,
  refusalForVersion,
  refusalFromError,
} from '@papayarun/protocol';
import {valueWithin} from '../_lib/value_within.js';
import {ClaimRecorder} from '../claim_recorder/claim_recorder.js';
import type {ClaimsOptions} from './claims_options.js';

const MS_PER_SECOND = 1000;
/** Delay before another attempt to claim an id, in milliseconds. */
const RETRY_DELAY_MS = 50;
/** Time allowed for a call to the owner on top of the wait for the outcome. */
const OWNER_CALL_MARGIN_MS = 1_000;
/** Largest answer body that is sent to the other members, in bytes. */
const MAX_BROADCAST_ANSWER_BYTES = 64 * 1024;

/**
 * Starts the work of an id at most once in the id's data centre.
 *
 * @description Before the work starts, the claim is recorded on every member
 * of the claim view. The primary member of the id records it first and decides
 * between instances that claim the id concurrently. An instance that finds the
 * id claimed waits for the outcome of the claim's owner.
 */
export class Claims {
  /** Claimed work that runs on this instance, by id. */
  private readonly executions = new Map<string, Promise<Outcome>>();

  private constructor(
    private readonly opts: ClaimsOptions,
    private readonly recorder: ClaimRecorder,
  ) {}

  /**
   * Creates claims and registers the handlers of their messages.
   *
   * @param opts - Network, claim table, view membership, view and time limits.
   * @returns The claims.
   * @example
   * const claims = Claims.create(opts);
   */
  static create(opts: ClaimsOptions): Claims {
    const claims = new Claims(opts, ClaimRecorder.create(opts));
    const {network, table} = opts;
    network.onCall('ownerAnswer', (_from, req) => claims.onOwnerAnswer(req));
    network.onNotice('claimAnswered', (_from, {id, claimId, outcome}) => {
      table.recordOutcome(id, claimId, outcome);
    });
    network.onNotice('claimEnded', (_from, {id, claimId}) => {
      table.recordEnd(id, claimId);
    });
    return claims;
  }

  /** Number of claimed pieces of work that run on this instance. */
  get runningCount(): number {
    return this.executions.size;
  }

  /**
   * Runs the work of an id unless it was started before.
   *
   * @description The work continues when the wait ends, and a request sent
   * again with the same id gets its outcome. If the outcome is `notRun`, the
   * claim is withdrawn before the outcome is returned.
   * @param id - Idempotency key.
   * @param fingerprint - Fingerprint of the content, compared with that of an
   *   earlier request with the same id.
   * @param waitMs - Longest wait for the outcome, in milliseconds.
   * @param signal - Aborts when the caller no longer waits. Claimed work
   *   continues; if the id is not claimed yet, no further attempt is made.
   * @param execute - Runs the work; must not throw.
   * @returns The outcome; errors are returned as a refusal.
   */
  async runOnce(
    id: string,
    fingerprint: string,
    waitMs: number,
    signal: AbortSignal,
    execute: () => Promise<Outcome>,
  ): Promise<Outcome> {
    const startedMs = this.opts.clock.now();
    try {
      this.checkKeyAge(parseRequestKey(id, 'papayarun-id'));
      for (;;) {
        signal.throwIfAborted();
        const result = await this.recorder.claim(id, fingerprint);
        const leftMs = waitMs - (this.opts.clock.now() - startedMs);
        switch (result.kind) {
          case 'won':
            return await this.outcomeWithinOrThrow(
              this.execute(result.record, execute),
              leftMs,
            );
          case 'held': {
            const outcome = await this.outcomeOfExistingClaim(
              result.record,
              fingerprint,
              leftMs,
            );
            if (outcome) {
              return outcome;
            }
            this.checkRetryTimeLeft(
              startedMs,
              waitMs,
              'an earlier claim of the id is being withdrawn',
            );
            break;
          }
          case 'full':
            throw DispatchError.notRun(
              'claimTableFull',
              'the claim table of a member of the claim view is full',
            );
          case 'retry':
            this.checkRetryTimeLeft(startedMs, waitMs, result.reason);
            break;
          default:
            result satisfies never;
        }
        await this.opts.clock.sleep(RETRY_DELAY_MS);
      }
    } catch (err) {
      return {kind: 'refused', refusal: refusalFromError(err)};
    }
  }

  /**
   * Finds the claim of an id in the table of this instance.
   *
   * @param id - Idempotency key.
   * @returns The claim, or undefined if the table has none for the id.
   */
  find(id: string): ClaimRecord | undefined {
    return this.opts.table.get(id);
  }

  /**
   * Waits for the outcome of claimed work that runs on this instance.
   *
   * @param id - Idempotency key.
   * @param waitMs - Longest wait, in milliseconds.
   * @returns The outcome, or undefined if the work still runs or this instance
   *   has no outcome for the id.
   */
  async waitForOutcome(
    id: string,
    waitMs: number,
  ): Promise<Outcome | undefined> {
    const execution = this.executions.get(id);
    return execution
      ? valueWithin(this.opts.clock, execution, waitMs)
      : this.opts.table.get(id)?.outcome;
  }

  /** Whether the owner of a claim is alive in the incarnation that made it. */
  isOwnerAlive(record: ClaimRecord): boolean {
    const {membership, network} = this.opts;
    if (record.owner === network.self) {
      return record.ownerBoot === membership.boot;
    }
    const isSameBoot =
      membership.peer(record.owner)?.heartbeat.boot === record.ownerBoot;
    return isSameBoot && membership.isAlive(record.owner);
  }

  private checkKeyAge(key: RequestKey): void {
    const {claimWindowMs, clockSkewMs, clock} = this.opts;
    const ageMs = clock.wallNow() - key.madeAtSeconds * MS_PER_SECOND;
    if (ageMs > claimWindowMs) {
      throw DispatchError.mayHaveRun(
        'idExpired',
        'the id is older than the claim window, so it may have been used before',
      );
    }
    if (ageMs < -clockSkewMs) {
      throw DispatchError.notRun(
        'badRequest',
        'the time in the id is further in the future than the allowed clock skew',
        {
          field: 'papayarun-id',
        },
      );
    }
  }

  private checkRetryTimeLeft(
    startedMs: number,
    waitMs: number,
    reason: string,
  ): void {
    const waitedMs = this.opts.clock.now() - startedMs;
    if (waitedMs > Math.min(waitMs, this.opts.claimTimeoutMs)) {
      this.opts.log.emit('claimUnavailable', {reason});
      // A member that did not answer may have started the work for another copy
      // of the request.
      throw DispatchError.mayHaveRun(
        'claimUnavailable',
        `the id could not be claimed: ${reason}; send the request again with the same id`,
      );
    }
  }

  private execute(
    record: ClaimRecord,
    run: () => Promise<Outcome>,
  ): Promise<Outcome> {
    const promise = this.executeAndRecord(record, run);
    this.executions.set(record.id, promise);
    this.recorder.endAttempt(record.claimId);
    return promise;
  }

  private async executeAndRecord(
    record: ClaimRecord,
    run: () => Promise<Outcome>,
  ): Promise<Outcome> {
    let outcome: Outcome;
    try {
      outcome = await run();
    } catch (err) {
      outcome = {kind: 'refused', refusal: refusalFromError(err)};
    }
    const members = this.recorder.otherMembers();
    if (
      outcome.kind === 'refused' &&
      outcome.refusal.verdict.kind === 'notRun'
    ) {
      await this.recorder.release(record);
    } else {
      this.opts.table.recordOutcome(record.id, record.claimId, outcome);
      this.broadcastOutcome(record, outcome, members);
    }
    this.executions.delete(record.id);
    return outcome;
  }

  private broadcastOutcome(
    record: ClaimRecord,
    outcome: Outcome,
    members: readonly InstanceId[],
  ): void {
    const isLarge =
      outcome.kind === 'answered' &&
      outcome.answer.body.byteLength > MAX_BROADCAST_ANSWER_BYTES;
    const {network} = this.opts;
    const {id, claimId} = record;
    for (const member of members) {
      if (isLarge) {
        network.notify(member, 'claimEnded', {id, claimId});
      } else {
        network.notify(member, 'claimAnswered', {id, claimId, outcome});
      }
    }
  }

  /** Outcome of an id that is claimed, or undefined to claim the id again. */
  private async outcomeOfExistingClaim(
    record: ClaimRecord,
    fingerprint: string,
    waitMs: number,
  ): Promise<Outcome | undefined> {
    this.opts.log.emit('claimConflict', {id: record.id, owner: record.owner});
    if (record.fingerprint !== fingerprint) {
      throw DispatchError.notRun(
        'idReused',
        'the id was already used for a request with different content',
        {
          field: 'papayarun-id',
        },
      );
    }
    if (record.outcome) {
      return record.outcome;
    }
    const localExecution = this.executions.get(record.id);
    if (localExecution) {
      return this.outcomeWithinOrThrow(localExecution, waitMs);
    }
    const current = this.opts.table.get(record.id);
    if (current?.claimId === record.claimId && current.outcome) {
      return current.outcome;
    }
    const isAnswerGone =
      record.isAnswerGone === true || current?.isAnswerGone === true;
    if (record.owner === this.opts.network.self) {
      if (isAnswerGone) {
        throw answerGoneError();
      }
      if (this.isOwnerAlive(record)) {
        await this.withdrawEndedAttempt(record);
        return undefined;
      }
    }
    if (!this.isOwnerAlive(record)) {
      throw isAnswerGone ? answerGoneError() : ownerLostError();
    }
    return this.askOwner(record, isAnswerGone, waitMs);
  }

  /**
   * Withdraws a claim of this instance whose attempt ended without starting the
   * work. A member may record such a claim after the first withdrawal, from a
   * claim transfer that was on its way.
   */
  private async withdrawEndedAttempt(record: ClaimRecord): Promise<void> {
    const {id, claimId} = record;
    const stored = this.opts.table.get(id);
    const hasStarted =
      this.executions.has(id) ||
      (stored?.claimId === claimId && stored.outcome !== undefined);
    if (!hasStarted && !this.recorder.isPending(claimId)) {
      await this.recorder.release(record);
    }
  }

  /**
   * Asks the owner of a claim for the outcome.
   *
   * @param record - The claim.
   * @param isAnswerGone - Whether the work is known to have ended.
   * @param waitMs - Longest wait, in milliseconds.
   * @returns The outcome, or undefined to claim the id again.
   * @throws DispatchError if the outcome can't be had.
   */
  private async askOwner(
    record: ClaimRecord,
    isAnswerGone: boolean,
    waitMs: number,
  ): Promise<Outcome | undefined> {
    let res: OwnerAnswerCall['res'];
    try {
      const {id, claimId, ownerBoot} = record;
      const req = {
        id,
        claimId,
        ownerBoot,
        waitMs,
        refusalVersion: REFUSAL_VERSION,
      };
      const timeoutMs = waitMs + OWNER_CALL_MARGIN_MS;
      res = await this.opts.network.call(record.owner, 'ownerAnswer', req, {
        timeoutMs,
      });
    } catch {
      throw isAnswerGone ? answerGoneError() : ownerLostError();
    }
    switch (res.kind) {
      case 'done':
        return res.outcome;
      case 'running':
        throw stillRunningError();
      case 'pending':
        return undefined;
      case 'lost':
        throw isAnswerGone ? answerGoneError() : ownerLostError();
      case 'unknown':
        if (isAnswerGone) {
          throw answerGoneError();
        }
        // The owner's attempt ended without starting the work, so the claim can
        // be withdrawn.
        await this.recorder.release(record);
        return undefined;
      default:
        return res satisfies never;
    }
  }

  private async onOwnerAnswer(
    req: OwnerAnswerCall['req'],
  ): Promise<OwnerAnswerCall['res']> {
    const execution = this.executions.get(req.id);
    if (execution) {
      const outcome = await valueWithin(this.opts.clock, execution, req.waitMs);
      return outcome ? {kind: 'done', outcome} : {kind: 'running'};
    }
    if (this.recorder.isPending(req.claimId)) {
      return {kind: 'pending'};
    }
    const record = this.opts.table.get(req.id);
    if (record?.claimId === req.claimId && record.isAnswerGone) {
      return {
        kind: 'done',
        outcome: {
          kind: 'refused',
          refusal: refusalForVersion(
            answerGoneError().refusal,
            req.refusalVersion,
          ),
        },
      };
    }
    const outcome = record?.outcome;
    if (!outcome && req.ownerBoot !== this.opts.membership.boot) {
      return {kind: 'lost'};
    }
    return outcome ? {kind: 'done', outcome} : {kind: 'unknown'};
  }

  private async outcomeWithinOrThrow(
    execution: Promise<Outcome>,
    waitMs: number,
  ): Promise<Outcome> {
    const outcome = await valueWithin(this.opts.clock, execution, waitMs);
    if (!outcome) {
      throw stillRunningError();
    }
    return outcome;
  }
}

function ownerLostError(): DispatchError {
  return DispatchError.mayHaveRun(
    'ownerLost',
    'the instance that claimed the id has restarted or cannot be reached',
  );
}

function answerGoneError(): DispatchError {
  return DispatchError.ran(
    'answerGone',
    'the work of the id has run, but its answer is no longer stored',
  );
}

function stillRunningError(): DispatchError {
  return DispatchError.mayHaveRun(
    'stillRunning',
    'the work is still running; send the request again with the same id to get its answer',
  );
}
