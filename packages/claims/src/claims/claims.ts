import type {
  ClaimRecord,
  InstanceId,
  Outcome,
  OwnerAnswerCall,
  RequestKey,
} from '@papayarun/protocol';
import {DispatchError, parseRequestKey, refusalOf} from '@papayarun/protocol';
import {ClaimRecorder} from '../claim_recorder/claim_recorder.js';
import type {ClaimsOptions} from './claims_options.js';

const MS_PER_SECOND = 1000;
const RETRY_PAUSE_MS = 50;
const MEMBER_TIMEOUT_MS = 1_000;
const DONE = 'done';
const MAX_SHARED_ANSWER_BYTES = 64 * 1024;

/**
 * Lets the work of an id start at most once in its data centre.
 *
 * @description Before the work starts, the claim is recorded on every member
 * of the view; first on the member that comes first for the id, which decides
 * between racing owners. Who finds a claim waits for its owner's outcome.
 */
export class Claims {
  private readonly running = new Map<string, Promise<Outcome>>();

  private constructor(
    private readonly opts: ClaimsOptions,
    private readonly recorder: ClaimRecorder,
  ) {}

  /**
   * Makes claims and takes over their messages.
   *
   * @param opts - Network, table, seat, view and times.
   * @returns The claims.
   * @example
   * const claims = Claims.create(opts);
   */
  static create(opts: ClaimsOptions): Claims {
    const claims = new Claims(opts, ClaimRecorder.create(opts));
    const {network, table} = opts;
    network.onCall('ownerAnswer', (_from, req) => claims.onOwnerAnswer(req));
    network.onNotice('claimAnswered', (_from, {id, claimId, outcome}) => {
      table.settle(id, claimId, outcome);
    });
    return claims;
  }

  /** Number of claimed pieces of work that run here. */
  get runningCount(): number {
    return this.running.size;
  }

  /**
   * Runs the work of an id unless it was started before, and gives its outcome.
   *
   * @description The work goes on when the wait ends; a resend then finds its
   * outcome. An outcome `notRun` gives the claim back before it is returned.
   * @param id - Idempotency key.
   * @param fingerprint - Fingerprint of the content.
   * @param waitMs - Longest wait for the outcome.
   * @param signal - Aborts when nobody waits any more; work that has been
   *   claimed goes on, a claim that hasn't been made is given up.
   * @param execute - Runs the work; must not throw.
   * @returns The outcome.
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
      this.checkKey(parseRequestKey(id, 'papayarun-id'));
      for (;;) {
        signal.throwIfAborted();
        const attempt = await this.recorder.claim(id, fingerprint);
        const leftMs = waitMs - (this.opts.clock.now() - startedMs);
        switch (attempt.kind) {
          case 'won':
            return await this.waitFor(
              this.execute(attempt.record, execute),
              leftMs,
            );
          case 'held': {
            const outcome = await this.heldOutcome(
              attempt.record,
              fingerprint,
              leftMs,
            );
            if (outcome) {
              return outcome;
            }
            this.checkPatience(
              startedMs,
              waitMs,
              'an earlier claim is being given back',
            );
            break;
          }
          case 'full':
            throw DispatchError.notRun(
              'claimTableFull',
              'too many ids are remembered',
            );
          case 'retry':
            this.checkPatience(startedMs, waitMs, attempt.reason);
            break;
          default:
            attempt satisfies never;
        }
        await this.opts.clock.sleep(RETRY_PAUSE_MS);
      }
    } catch (err) {
      return {kind: 'refused', refusal: refusalOf(err)};
    }
  }

  /**
   * Finds the claim of an id on this member.
   *
   * @param id - Idempotency key.
   * @returns The record, or undefined when the id is not claimed.
   */
  find(id: string): ClaimRecord | undefined {
    return this.opts.table.get(id);
  }

  /**
   * Waits for claimed work that runs here.
   *
   * @param id - Idempotency key.
   * @param waitMs - Longest wait.
   * @returns The outcome, or undefined when it still runs or isn't here.
   */
  async await(id: string, waitMs: number): Promise<Outcome | undefined> {
    const running = this.running.get(id);
    return running
      ? this.inTime(running, waitMs)
      : this.opts.table.get(id)?.outcome;
  }

  /** Whether the owner of a claim still lives in the same incarnation. */
  isOwnerAlive(record: ClaimRecord): boolean {
    const {membership, network} = this.opts;
    if (record.owner === network.self) {
      return record.ownerBoot === membership.boot;
    }
    const isSameBoot =
      membership.peer(record.owner)?.heartbeat.boot === record.ownerBoot;
    return isSameBoot && membership.isAlive(record.owner);
  }

  private checkKey(key: RequestKey): void {
    const {windowMs, clockSkewMs, clock} = this.opts;
    const ageMs = clock.wallNow() - key.madeAtSeconds * MS_PER_SECOND;
    if (ageMs > windowMs) {
      throw DispatchError.mayHaveRun(
        'idExpired',
        'the id is older than the time for resending',
      );
    }
    if (ageMs < -clockSkewMs) {
      throw DispatchError.notRun(
        'badRequest',
        'the id was made in the future',
        {
          field: 'papayarun-id',
        },
      );
    }
  }

  private checkPatience(
    startedMs: number,
    waitMs: number,
    reason: string,
  ): void {
    const waited = this.opts.clock.now() - startedMs;
    if (waited > Math.min(waitMs, this.opts.claimTimeoutMs)) {
      this.opts.log.emit('claimUnavailable', {reason});
      // Another copy of the request may be with a member that can't be asked.
      throw DispatchError.mayHaveRun(
        'claimUnavailable',
        `no claim could be made: ${reason}; send it again with the same id`,
      );
    }
  }

  private execute(
    record: ClaimRecord,
    run: () => Promise<Outcome>,
  ): Promise<Outcome> {
    const promise = this.executeAndSettle(record, run);
    this.running.set(record.id, promise);
    return promise;
  }

  private async executeAndSettle(
    record: ClaimRecord,
    run: () => Promise<Outcome>,
  ): Promise<Outcome> {
    let outcome: Outcome;
    try {
      outcome = await run();
    } catch (err) {
      outcome = {kind: 'refused', refusal: refusalOf(err)};
    }
    const members = this.recorder.otherMembers();
    if (
      outcome.kind === 'refused' &&
      outcome.refusal.verdict.kind === 'notRun'
    ) {
      await this.recorder.release(record);
    } else {
      this.opts.table.settle(record.id, record.claimId, outcome);
      this.shareOutcome(record, outcome, members);
    }
    this.running.delete(record.id);
    return outcome;
  }

  private shareOutcome(
    record: ClaimRecord,
    outcome: Outcome,
    members: readonly InstanceId[],
  ): void {
    const isLarge =
      outcome.kind === 'answered' &&
      outcome.answer.body.byteLength > MAX_SHARED_ANSWER_BYTES;
    if (isLarge) {
      return;
    }
    const {id, claimId} = record;
    for (const member of members) {
      this.opts.network.notify(member, 'claimAnswered', {id, claimId, outcome});
    }
  }

  /** Outcome of an id that is claimed, or undefined to try to claim it again. */
  private async heldOutcome(
    record: ClaimRecord,
    fingerprint: string,
    waitMs: number,
  ): Promise<Outcome | undefined> {
    this.opts.log.emit('claimConflict', {id: record.id, owner: record.owner});
    if (record.fingerprint !== fingerprint) {
      throw DispatchError.notRun(
        'idReused',
        'the id was used for other content',
        {
          field: 'papayarun-id',
        },
      );
    }
    if (record.outcome) {
      return record.outcome;
    }
    const own = this.running.get(record.id);
    if (own) {
      return this.waitFor(own, waitMs);
    }
    const latest = this.opts.table.get(record.id);
    if (latest?.claimId === record.claimId && latest.outcome) {
      return latest.outcome;
    }
    if (!this.isOwnerAlive(record)) {
      throw ownerLost();
    }
    if (record.owner === this.opts.network.self) {
      return undefined;
    }
    return this.askOwner(record, waitMs);
  }

  private async askOwner(
    record: ClaimRecord,
    waitMs: number,
  ): Promise<Outcome | undefined> {
    let res: OwnerAnswerCall['res'];
    try {
      const {id, claimId, ownerBoot} = record;
      const req = {id, claimId, ownerBoot, waitMs};
      const timeoutMs = waitMs + MEMBER_TIMEOUT_MS;
      res = await this.opts.network.call(record.owner, 'ownerAnswer', req, {
        timeoutMs,
      });
    } catch {
      throw ownerLost();
    }
    switch (res.kind) {
      case 'done':
        return res.outcome;
      case 'running':
        throw stillRunning();
      case 'pending':
        return undefined;
      case 'lost':
        throw ownerLost();
      case 'unknown':
        // That attempt has ended without a start, so it may be forgotten.
        await this.recorder.release(record);
        return undefined;
      default:
        return res satisfies never;
    }
  }

  private async onOwnerAnswer(
    req: OwnerAnswerCall['req'],
  ): Promise<OwnerAnswerCall['res']> {
    const running = this.running.get(req.id);
    if (running) {
      const outcome = await this.inTime(running, req.waitMs);
      return outcome ? {kind: 'done', outcome} : {kind: 'running'};
    }
    if (this.recorder.isPending(req.claimId)) {
      return {kind: 'pending'};
    }
    const outcome = this.opts.table.get(req.id)?.outcome;
    if (!outcome && req.ownerBoot !== this.opts.membership.boot) {
      return {kind: 'lost'};
    }
    return outcome ? {kind: 'done', outcome} : {kind: 'unknown'};
  }

  private async waitFor(
    running: Promise<Outcome>,
    waitMs: number,
  ): Promise<Outcome> {
    const outcome = await this.inTime(running, waitMs);
    if (!outcome) {
      throw stillRunning();
    }
    return outcome;
  }

  private async inTime(
    running: Promise<Outcome>,
    waitMs: number,
  ): Promise<Outcome | undefined> {
    const done = new AbortController();
    const late = this.opts.clock
      .sleep(Math.max(0, waitMs), done.signal)
      .then(() => undefined);
    const outcome = await Promise.race([running, late]);
    done.abort(DONE);
    return outcome;
  }
}

function ownerLost(): DispatchError {
  return DispatchError.mayHaveRun(
    'ownerLost',
    'the instance that started it was lost',
  );
}

function stillRunning(): DispatchError {
  return DispatchError.mayHaveRun(
    'stillRunning',
    'it still runs; send it again to get its answer',
  );
}
