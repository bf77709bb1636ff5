import type {Membership} from '@papayarun/membership';
import type {
  Clock,
  DataCentreId,
  EventLog,
  InstanceId,
} from '@papayarun/protocol';
import type {
  ClaimView,
  ControlCommand,
  ControlResult,
} from '@papayarun/releases';
import type {Seat} from '../seat/seat.js';
import type {NextView} from './next_view_members.js';
import {nextViewMembers} from './next_view_members.js';

/**
 * What the keeping of the view needs.
 */
export interface ViewKeeperOptions {
  readonly self: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly membership: Membership;
  readonly seat: Seat;
  readonly periodMs: number;
  readonly view: () => ClaimView | undefined;
  /** Commits a command; undefined when nobody can tell. */
  readonly propose: (
    command: ControlCommand,
  ) => Promise<ControlResult | undefined>;
  /** Takes a new incarnation. */
  readonly renew: () => void;
  /** Whether the state is known well enough to judge the view. */
  readonly isCurrent: () => boolean;
}

/**
 * Keeps a data centre's claim view in line with who is alive.
 */
export class ViewKeeper {
  private readonly stopping = new AbortController();
  private leaving = false;

  private constructor(private readonly opts: ViewKeeperOptions) {}

  /**
   * Makes a view keeper.
   *
   * @param opts - Membership, seat and the way to the release log.
   * @returns The keeper, not started.
   * @example
   * const keeper = ViewKeeper.create(opts);
   */
  static create(opts: ViewKeeperOptions): ViewKeeper {
    return new ViewKeeper(opts);
  }

  start(): void {
    void this.loop();
  }

  stop(): void {
    this.stopping.abort();
  }

  /**
   * Gives up the seat, so that others need not wait for this instance.
   *
   * @param timeoutMs - Longest wait.
   */
  async leave(timeoutMs: number): Promise<void> {
    this.leaving = true;
    const {clock, periodMs, seat} = this.opts;
    const startedMs = clock.now();
    while (seat.memberView() && clock.now() - startedMs < timeoutMs) {
      const isAlone = this.next().kind === 'none';
      if (isAlone) {
        return;
      }
      await this.step();
      await clock.sleep(periodMs / 10);
    }
  }

  private async loop(): Promise<void> {
    const {clock, periodMs, seat} = this.opts;
    while (!this.stopping.signal.aborted) {
      await clock.sleep(periodMs, this.stopping.signal);
      await seat.join();
      if (this.opts.isCurrent() && !this.stopping.signal.aborted) {
        await this.step();
      }
    }
  }

  private next(): NextView {
    const {membership, self, seat} = this.opts;
    const live = membership
      .livePeers()
      .filter(p => p.heartbeat.dataCentre === this.opts.dataCentre)
      .map(p => ({
        instanceId: p.instanceId,
        boot: p.heartbeat.boot,
        isDraining: p.heartbeat.state === 'draining',
      }));
    return nextViewMembers({
      view: this.opts.view(),
      self: {instanceId: self, boot: membership.boot},
      isSynced: seat.isSynced(),
      isLeaving: this.leaving,
      live,
      lastBoot: id => membership.peer(id)?.heartbeat.boot,
    });
  }

  private async step(): Promise<void> {
    const next = this.next();
    switch (next.kind) {
      case 'none':
        return;
      case 'renew':
        this.opts.renew();
        return;
      case 'members':
        await this.proposeView(next.members, undefined);
        return;
      case 'reset':
        await this.proposeView(next.members, {
          replaced: next.replaced,
          byOperator: false,
        });
        return;
      default:
        next satisfies never;
    }
  }

  private async proposeView(
    members: Extract<ControlCommand, {kind: 'setView'}>['members'],
    reset: Extract<ControlCommand, {kind: 'setView'}>['reset'],
  ): Promise<void> {
    const fromEpoch = this.opts.view()?.epoch ?? 0;
    const {dataCentre} = this.opts;
    this.opts.log.emit('viewProposed', {fromEpoch, members, reset});
    await this.opts.propose({
      kind: 'setView',
      dataCentre,
      fromEpoch,
      members,
      reset,
    });
  }
}
