import type {
  ClaimCall,
  ClaimId,
  ClaimRecord,
  InstanceId,
} from '@papayarun/protocol';
import {
  DispatchError,
  parseRequestKey,
  rendezvousOrder,
} from '@papayarun/protocol';
import type {ClaimView} from '@papayarun/releases';
import type {ClaimsOptions} from '../claims/claims_options.js';
import type {ClaimAttemptResult} from './claim_attempt_result.js';

/** Timeout of a call to a member of the claim view, in milliseconds. */
const MEMBER_CALL_TIMEOUT_MS = 1_000;

/**
 * Records the claims of this instance on all members of the claim view, and
 * the claims of the other members in the table of this instance.
 */
export class ClaimRecorder {
  /** Attempts of this instance that are still in progress. */
  private readonly pending = new Set<ClaimId>();

  private constructor(private readonly opts: ClaimsOptions) {}

  /**
   * Creates a recorder and registers the handlers of its messages.
   *
   * @param opts - Network, claim table, view membership and view.
   * @returns The recorder.
   * @example
   * const recorder = ClaimRecorder.create(opts);
   */
  static create(opts: ClaimsOptions): ClaimRecorder {
    const recorder = new ClaimRecorder(opts);
    const {network, table} = opts;
    network.onCall('claim', (_from, req) =>
      Promise.resolve(recorder.onClaim(req)),
    );
    network.onCall('releaseClaim', (_from, {id, claimId}) => {
      table.release(id, claimId);
      return Promise.resolve({ok: true});
    });
    return recorder;
  }

  /** Whether an attempt of this instance is still in progress. */
  isPending(claimId: ClaimId): boolean {
    return this.pending.has(claimId);
  }

  /**
   * Records a claim on every member of the view, first on the primary member.
   *
   * @param id - Idempotency key.
   * @param fingerprint - Fingerprint of the content.
   * @returns The result: won, already held, to be tried again, or table full. A
   *   won attempt stays in progress until `endAttempt` is called.
   * @throws DispatchError with `mayHaveRun` if the id is of an earlier
   *   generation than the view.
   */
  async claim(id: string, fingerprint: string): Promise<ClaimAttemptResult> {
    const {table, viewMembership, network, membership} = this.opts;
    const view = viewMembership.viewIfMember();
    if (!view || !viewMembership.isSynced()) {
      return {
        kind: 'retry',
        reason: 'this instance is not yet a synced member of the claim view',
      };
    }
    const {generation} = parseRequestKey(id, 'papayarun-id');
    if (generation > view.generation) {
      return {
        kind: 'retry',
        reason:
          'the generation of the id is newer than the claim view of this instance',
      };
    }
    // The generation is checked against the view in which the claim is made,
    // since it may have changed after the request arrived.
    if (generation < view.generation) {
      throw DispatchError.mayHaveRun(
        'generationClosed',
        'the claims of the generation of this id were lost; use a new id prefix for new requests',
      );
    }
    const existing = table.get(id);
    if (existing) {
      return {kind: 'held', record: existing};
    }
    if (table.isFull()) {
      return {kind: 'full'};
    }
    const record: ClaimRecord = {
      id,
      claimId: this.opts.makeClaimId() as ClaimId,
      owner: network.self,
      ownerBoot: membership.boot,
      fingerprint,
    };
    this.pending.add(record.claimId);
    const result = await this.recordOnAllMembers(view, record);
    if (result.kind !== 'won') {
      await this.release(record);
      this.pending.delete(record.claimId);
    }
    return result;
  }

  /**
   * Ends a won attempt once its work is registered as running. Without the
   * overlap, the claim would look abandoned for a moment.
   */
  endAttempt(claimId: ClaimId): void {
    this.pending.delete(claimId);
  }

  private async recordOnAllMembers(
    view: ClaimView,
    record: ClaimRecord,
  ): Promise<ClaimAttemptResult> {
    const {table, viewMembership, network} = this.opts;
    const primary = primaryMember(view, record.id);
    if (primary !== network.self) {
      const primaryResult = await this.recordOnMember(
        primary,
        view.epoch,
        record,
      );
      if (primaryResult.kind !== 'won') {
        return primaryResult;
      }
      if (viewMembership.viewIfMember()?.epoch !== view.epoch) {
        return {kind: 'retry', reason: 'the claim view changed'};
      }
      const existing = table.get(record.id);
      if (existing) {
        return {kind: 'held', record: existing};
      }
    }
    table.put(record);
    const otherMembers = view.members
      .map(member => member.instanceId)
      .filter(id => id !== network.self && id !== primary);
    const results = await Promise.all(
      otherMembers.map(member =>
        this.recordOnMember(member, view.epoch, record),
      ),
    );
    return (
      results.find(result => result.kind !== 'won') ?? {kind: 'won', record}
    );
  }

  private async recordOnMember(
    member: InstanceId,
    epoch: number,
    record: ClaimRecord,
  ): Promise<ClaimAttemptResult> {
    let res: ClaimCall['res'];
    try {
      const opts = {timeoutMs: MEMBER_CALL_TIMEOUT_MS};
      res = await this.opts.network.call(
        member,
        'claim',
        {epoch, record},
        opts,
      );
    } catch {
      return {kind: 'retry', reason: `${member} did not answer the claim call`};
    }
    switch (res.kind) {
      case 'recorded':
        return {kind: 'won', record};
      case 'held':
        return {kind: 'held', record: res.record};
      case 'full':
        return {kind: 'full'};
      case 'wrongView':
        return {
          kind: 'retry',
          reason: `${member} answered with claim view epoch ${res.epoch}`,
        };
      default:
        return res satisfies never;
    }
  }

  private onClaim(req: ClaimCall['req']): ClaimCall['res'] {
    const {viewMembership, table, network} = this.opts;
    const {record} = req;
    const view = viewMembership.viewIfMember();
    const isOwnerInView = view?.members.some(
      m => m.instanceId === record.owner && m.boot === record.ownerBoot,
    );
    if (!view || view.epoch !== req.epoch || !isOwnerInView) {
      return {kind: 'wrongView', epoch: view?.epoch ?? 0};
    }
    const isPrimary = primaryMember(view, record.id) === network.self;
    if (isPrimary && !viewMembership.isSynced()) {
      return {kind: 'wrongView', epoch: view.epoch};
    }
    const existing = table.get(record.id);
    if (existing && existing.claimId !== record.claimId) {
      return {kind: 'held', record: existing};
    }
    if (!existing && table.isFull()) {
      return {kind: 'full'};
    }
    if (!existing) {
      table.put(record);
    }
    return {kind: 'recorded'};
  }

  /**
   * Withdraws a claim on all members, so that a request sent again with the
   * same id can start.
   *
   * @param record - Claim whose work is known not to have run.
   */
  async release(record: ClaimRecord): Promise<void> {
    const {id, claimId} = record;
    this.opts.table.release(id, claimId);
    await Promise.all(
      this.otherMembers().map(member =>
        this.opts.network
          .call(
            member,
            'releaseClaim',
            {id, claimId},
            {timeoutMs: MEMBER_CALL_TIMEOUT_MS},
          )
          .catch((err: unknown) =>
            this.opts.log.emit('releaseUnanswered', {id, member, err}),
          ),
      ),
    );
  }

  /** Members of the view other than this instance. */
  otherMembers(): InstanceId[] {
    const members = this.opts.view()?.members ?? [];
    return members
      .map(m => m.instanceId)
      .filter(id => id !== this.opts.network.self);
  }
}

/** Member that decides between instances that claim an id concurrently. */
function primaryMember(view: ClaimView, id: string): InstanceId {
  const members = view.members.map(member => member.instanceId);
  return rendezvousOrder(id, members)[0]!;
}
