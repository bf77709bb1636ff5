import type {
  BootId,
  ClaimTransferCall,
  EventLog,
  InstanceId,
  PeerNetwork,
} from '@papayarun/protocol';
import type {ClaimView, JoinedMember} from '@papayarun/releases';
import type {ClaimTable} from '../claim_table/claim_table.js';

/** Claims in one page of a transfer. */
const RECORDS_PER_PAGE = 2_000;
/** Largest size of one page of a transfer, in bytes. */
const MAX_PAGE_BYTES = 4 * 1024 * 1024;
/** Largest part of a message between instances that a page takes. */
const MAX_PAGE_FRACTION = 0.5;
/** Timeout of the call for one page of a transfer, in milliseconds. */
const PAGE_CALL_TIMEOUT_MS = 2_000;

/**
 * Dependencies of the view membership of an instance.
 */
export interface ViewMembershipOptions {
  readonly network: PeerNetwork;
  readonly table: ClaimTable;
  readonly log: EventLog;
  /** Current boot id of this instance. */
  readonly boot: () => BootId;
  readonly view: () => ClaimView | undefined;
  /** Largest size of a message between instances, in bytes. */
  readonly maxFrameBytes: number;
}

/**
 * Membership of this instance in the claim view of its data centre.
 *
 * @description A member is synced when it holds every claim of the view. A
 * member that joined at the epoch that opened the generation is synced at once,
 * since there were no claims then; any other member is synced after a transfer
 * from a synced member. A member that was removed and joins again has a new
 * `since` and must be synced again.
 */
export class ViewMembership {
  /** Join epoch (`since`) of the membership that is synced, if one is. */
  private syncedJoinEpoch: number | undefined;
  private isTransferring = false;

  private constructor(private readonly opts: ViewMembershipOptions) {}

  /**
   * Creates the membership and registers the handler that transfers claims to
   * other members.
   *
   * @param opts - Network, claim table, view and boot id.
   * @returns The membership, not synced.
   * @example
   * const viewMembership = ViewMembership.create(opts);
   */
  static create(opts: ViewMembershipOptions): ViewMembership {
    const viewMembership = new ViewMembership(opts);
    opts.network.onCall('claimTransfer', (_from, req) =>
      Promise.resolve(viewMembership.serveTransfer(req)),
    );
    return viewMembership;
  }

  /** The claim view if this incarnation is a member of it, else undefined. */
  viewIfMember(): ClaimView | undefined {
    return this.ownMember() && this.opts.view();
  }

  /** Whether this member holds every claim of the view. */
  isSynced(): boolean {
    const own = this.ownMember();
    return own !== undefined && own.since === this.syncedJoinEpoch;
  }

  /** Marks this instance as not synced, as when a new incarnation starts. */
  reset(): void {
    this.syncedJoinEpoch = undefined;
  }

  /**
   * Copies the claims of the view from another member if this member is not
   * synced. Called after each change of the view and periodically.
   */
  async syncClaims(): Promise<void> {
    const own = this.ownMember();
    const view = this.opts.view();
    if (!own || !view || this.isSynced() || this.isTransferring) {
      return;
    }
    if (own.since === view.openedAtEpoch) {
      this.markSynced(view, own);
      return;
    }
    this.isTransferring = true;
    try {
      await this.transferClaims(view, own);
    } finally {
      this.isTransferring = false;
    }
  }

  private async transferClaims(
    view: ClaimView,
    own: JoinedMember,
  ): Promise<void> {
    const earlierMembers = view.members.filter(m => m.since < own.since);
    for (const {instanceId} of earlierMembers) {
      if (await this.copyClaimsFrom(instanceId, view.epoch)) {
        const isSameJoin = this.ownMember()?.since === own.since;
        if (isSameJoin) {
          this.markSynced(view, own);
        }
        return;
      }
    }
  }

  private async copyClaimsFrom(
    from: InstanceId,
    epoch: number,
  ): Promise<boolean> {
    let afterId = '';
    for (;;) {
      let res: ClaimTransferCall['res'];
      try {
        const opts = {timeoutMs: PAGE_CALL_TIMEOUT_MS};
        res = await this.opts.network.call(
          from,
          'claimTransfer',
          {epoch, afterId},
          opts,
        );
      } catch {
        return false;
      }
      if (res.kind === 'notYet') {
        return false;
      }
      for (const record of res.records) {
        this.opts.table.merge(record);
      }
      if (res.done) {
        return true;
      }
      afterId = res.records.at(-1)!.id;
    }
  }

  private serveTransfer(
    req: ClaimTransferCall['req'],
  ): ClaimTransferCall['res'] {
    const view = this.viewIfMember();
    if (!view || view.epoch < req.epoch || !this.isSynced()) {
      return {kind: 'notYet'};
    }
    const {table, maxFrameBytes} = this.opts;
    const maxBytes = Math.min(
      MAX_PAGE_BYTES,
      MAX_PAGE_FRACTION * maxFrameBytes,
    );
    return {
      kind: 'page',
      ...table.page(req.afterId, RECORDS_PER_PAGE, maxBytes),
    };
  }

  private markSynced(view: ClaimView, own: JoinedMember): void {
    this.syncedJoinEpoch = own.since;
    const {table} = this.opts;
    this.opts.log.emit('viewJoined', {
      epoch: view.epoch,
      since: own.since,
      claims: table.size,
    });
  }

  private ownMember(): JoinedMember | undefined {
    const boot = this.opts.boot();
    return this.opts
      .view()
      ?.members.find(
        m => m.instanceId === this.opts.network.self && m.boot === boot,
      );
  }
}
