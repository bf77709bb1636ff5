import type {
  BootId,
  ClaimTransferCall,
  EventLog,
  InstanceId,
  PeerNetwork,
} from '@papayarun/protocol';
import type {ClaimView, SeatedMember} from '@papayarun/releases';
import type {ClaimTable} from '../claim_table/claim_table.js';

const PAGE_RECORDS = 2_000;
const TRANSFER_TIMEOUT_MS = 2_000;

/**
 * What a seat needs.
 */
export interface SeatOptions {
  readonly network: PeerNetwork;
  readonly table: ClaimTable;
  readonly log: EventLog;
  readonly boot: () => BootId;
  readonly view: () => ClaimView | undefined;
}

/**
 * This instance's place in its data centre's claim view.
 *
 * @description A member is synced when it holds every claim of the view: from
 * the opening of the generation if it joined with it, else after a transfer
 * from a synced member. A member that was removed and joins again has another
 * `since` and must be synced anew.
 */
export class Seat {
  private syncedSince: number | undefined;
  private transferring = false;

  private constructor(private readonly opts: SeatOptions) {}

  /**
   * Makes a seat and serves transfers to others.
   *
   * @param opts - Network, table, view and boot id.
   * @returns The seat.
   * @example
   * const seat = Seat.create(opts);
   */
  static create(opts: SeatOptions): Seat {
    const seat = new Seat(opts);
    opts.network.onCall('claimTransfer', (_from, req) =>
      Promise.resolve(seat.serve(req)),
    );
    return seat;
  }

  /** The view, if this incarnation is in it. */
  memberView(): ClaimView | undefined {
    return this.ownMember() && this.opts.view();
  }

  /** Whether this member holds every claim of the view. */
  isSynced(): boolean {
    const own = this.ownMember();
    return own !== undefined && own.since === this.syncedSince;
  }

  /** Forgets being synced, as after a new incarnation. */
  reset(): void {
    this.syncedSince = undefined;
  }

  /** Takes the claims over after joining; called whenever the view changed. */
  async join(): Promise<void> {
    const own = this.ownMember();
    const view = this.opts.view();
    if (!own || !view || this.isSynced() || this.transferring) {
      return;
    }
    if (own.since === view.openedAtEpoch) {
      this.seated(view, own);
      return;
    }
    this.transferring = true;
    try {
      await this.transfer(view, own);
    } finally {
      this.transferring = false;
    }
  }

  private async transfer(view: ClaimView, own: SeatedMember): Promise<void> {
    const others = view.members.filter(m => m.since < own.since);
    for (const {instanceId} of others) {
      if (await this.copyFrom(instanceId, view.epoch)) {
        const isSame = this.ownMember()?.since === own.since;
        if (isSame) {
          this.seated(view, own);
        }
        return;
      }
    }
  }

  private async copyFrom(from: InstanceId, epoch: number): Promise<boolean> {
    let afterId = '';
    for (;;) {
      let res: ClaimTransferCall['res'];
      try {
        const opts = {timeoutMs: TRANSFER_TIMEOUT_MS};
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
        if (!this.opts.table.get(record.id)) {
          this.opts.table.put(record);
        }
      }
      if (res.done) {
        return true;
      }
      afterId = res.records.at(-1)!.id;
    }
  }

  private serve(req: ClaimTransferCall['req']): ClaimTransferCall['res'] {
    const view = this.memberView();
    if (!view || view.epoch < req.epoch || !this.isSynced()) {
      return {kind: 'notYet'};
    }
    const records = this.opts.table.page(req.afterId, PAGE_RECORDS);
    return {kind: 'page', records, done: records.length < PAGE_RECORDS};
  }

  private seated(view: ClaimView, own: SeatedMember): void {
    this.syncedSince = own.since;
    const {table} = this.opts;
    this.opts.log.emit('viewJoined', {
      epoch: view.epoch,
      since: own.since,
      claims: table.size,
    });
  }

  private ownMember(): SeatedMember | undefined {
    const boot = this.opts.boot();
    return this.opts
      .view()
      ?.members.find(
        m => m.instanceId === this.opts.network.self && m.boot === boot,
      );
  }
}
