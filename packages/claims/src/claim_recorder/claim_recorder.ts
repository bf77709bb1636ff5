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
import type {ClaimAttempt} from './claim_attempt.js';

const MEMBER_TIMEOUT_MS = 1_000;

/**
 * Records claims on the members of the view, and those of others here.
 */
export class ClaimRecorder {
  private readonly pending = new Set<ClaimId>();

  private constructor(private readonly opts: ClaimsOptions) {}

  /**
   * Makes a recorder and takes over its messages.
   *
   * @param opts - Network, table, seat and view.
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

  /** Whether an attempt of this instance has not ended yet. */
  isPending(claimId: ClaimId): boolean {
    return this.pending.has(claimId);
  }

  /**
   * Records a claim on every member of the view, the deciding one first.
   *
   * @param id - Idempotency key.
   * @param fingerprint - Fingerprint of the content.
   * @returns Whether it was won, is held already, or should be tried again.
   * @throws DispatchError with `mayHaveRun` when the id's generation is closed.
   */
  async claim(id: string, fingerprint: string): Promise<ClaimAttempt> {
    const {table, seat, network, membership} = this.opts;
    const view = seat.memberView();
    if (!view || !seat.isSynced()) {
      return {
        kind: 'retry',
        reason: 'this instance is not yet a member of the claim view',
      };
    }
    const {generation} = parseRequestKey(id, 'papayarun-id');
    if (generation > view.generation) {
      return {
        kind: 'retry',
        reason: 'the id is of a generation that is not known here',
      };
    }
    // Checked against the very view that the claim is made in: the generation
    // may have changed since the request came.
    if (generation < view.generation) {
      throw DispatchError.mayHaveRun(
        'generationClosed',
        'the claims made with this id were lost; take a new prefix for new requests',
      );
    }
    const known = table.get(id);
    if (known) {
      return {kind: 'held', record: known};
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
    const attempt = await this.recordEverywhere(view, record);
    if (attempt.kind !== 'won') {
      await this.release(record);
    }
    this.pending.delete(record.claimId);
    return attempt;
  }

  private async recordEverywhere(
    view: ClaimView,
    record: ClaimRecord,
  ): Promise<ClaimAttempt> {
    const {table, seat, network} = this.opts;
    const first = decidingMember(view, record.id);
    if (first !== network.self) {
      const decided = await this.recordAt(first, view.epoch, record);
      if (decided.kind !== 'won') {
        return decided;
      }
      if (seat.memberView()?.epoch !== view.epoch) {
        return {kind: 'retry', reason: 'the claim view changed'};
      }
      const known = table.get(record.id);
      if (known) {
        return {kind: 'held', record: known};
      }
    }
    table.put(record);
    const rest = view.members
      .map(member => member.instanceId)
      .filter(id => id !== network.self && id !== first);
    const attempts = await Promise.all(
      rest.map(member => this.recordAt(member, view.epoch, record)),
    );
    return (
      attempts.find(attempt => attempt.kind !== 'won') ?? {kind: 'won', record}
    );
  }

  private async recordAt(
    member: InstanceId,
    epoch: number,
    record: ClaimRecord,
  ): Promise<ClaimAttempt> {
    let res: ClaimCall['res'];
    try {
      const opts = {timeoutMs: MEMBER_TIMEOUT_MS};
      res = await this.opts.network.call(
        member,
        'claim',
        {epoch, record},
        opts,
      );
    } catch {
      return {kind: 'retry', reason: `${member} did not answer`};
    }
    switch (res.kind) {
      case 'recorded':
        return {kind: 'won', record};
      case 'held':
        return {kind: 'held', record: res.record};
      case 'full':
        return {kind: 'full'};
      case 'wrongView':
        return {kind: 'retry', reason: `${member} is in epoch ${res.epoch}`};
      default:
        return res satisfies never;
    }
  }

  private onClaim(req: ClaimCall['req']): ClaimCall['res'] {
    const {seat, table, network} = this.opts;
    const {record} = req;
    const view = seat.memberView();
    const isOwnerSeated = view?.members.some(
      m => m.instanceId === record.owner && m.boot === record.ownerBoot,
    );
    if (!view || view.epoch !== req.epoch || !isOwnerSeated) {
      return {kind: 'wrongView', epoch: view?.epoch ?? 0};
    }
    const decides = decidingMember(view, record.id) === network.self;
    if (decides && !seat.isSynced()) {
      return {kind: 'wrongView', epoch: view.epoch};
    }
    const known = table.get(record.id);
    if (known && known.claimId !== record.claimId) {
      return {kind: 'held', record: known};
    }
    if (!known && table.isFull()) {
      return {kind: 'full'};
    }
    if (!known) {
      table.put(record);
    }
    return {kind: 'recorded'};
  }

  /**
   * Withdraws a claim everywhere, so that a resend may start.
   *
   * @param record - Claim whose work has certainly not run.
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
            {timeoutMs: MEMBER_TIMEOUT_MS},
          )
          .catch(() => undefined),
      ),
    );
  }

  /** Members of the view besides this instance. */
  otherMembers(): InstanceId[] {
    const members = this.opts.view()?.members ?? [];
    return members
      .map(m => m.instanceId)
      .filter(id => id !== this.opts.network.self);
  }
}

/** Member that decides between owners that race for an id. */
function decidingMember(view: ClaimView, id: string): InstanceId {
  const members = view.members.map(member => member.instanceId);
  return rendezvousOrder(id, members)[0]!;
}
