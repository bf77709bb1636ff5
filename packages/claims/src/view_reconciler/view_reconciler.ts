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
import type {ViewMembership} from '../view_membership/view_membership.js';
import {ObservedView} from './observed_view.js';
import type {ViewChange} from './plan_view_change.js';
import {planViewChange} from './plan_view_change.js';

/**
 * Dependencies of the component that keeps the claim view up to date.
 */
export interface ViewReconcilerOptions {
  readonly self: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly membership: Membership;
  readonly viewMembership: ViewMembership;
  /** Interval between two checks of the view, in milliseconds. */
  readonly periodMs: number;
  readonly view: () => ClaimView | undefined;
  /** Index of the replicated log that this instance has applied. */
  readonly stateIndex: () => number;
  /**
   * Commits a command to the replicated log. The result is undefined if it is
   * not known whether the command was committed, or if it failed.
   */
  readonly propose: (
    command: ControlCommand,
  ) => Promise<ControlResult | undefined>;
  /** Starts a new incarnation of this instance, without claims. */
  readonly startNewIncarnation: () => void;
  /** Whether the control state of this instance is recent enough to act on. */
  readonly isStateRecent: () => boolean;
}

/**
 * Proposes changes of a data centre's claim view so that its members are the
 * live instances.
 */
export class ViewReconciler {
  private readonly stopping = new AbortController();
  private isLeaving = false;

  private readonly observed: ObservedView;

  private constructor(private readonly opts: ViewReconcilerOptions) {
    const {clock, membership} = opts;
    this.observed = ObservedView.create({
      clock,
      peer: id => membership.peer(id),
      timeoutOf: id => membership.timeoutOf(id),
    });
  }

  /**
   * Creates the component.
   *
   * @param opts - Membership, view membership and access to the replicated log.
   * @returns The component, not started.
   * @example
   * const viewReconciler = ViewReconciler.create(opts);
   */
  static create(opts: ViewReconcilerOptions): ViewReconciler {
    return new ViewReconciler(opts);
  }

  /** Starts checking the view periodically. */
  start(): void {
    void this.reconcileLoop();
  }

  /** Stops checking the view. */
  stop(): void {
    this.stopping.abort();
  }

  /**
   * Removes this instance from the view, so that the other members do not wait
   * for its answers after it stops. Returns early if this instance has no change
   * to propose, for example as the only live instance.
   *
   * @param timeoutMs - Longest wait, in milliseconds.
   */
  async leave(timeoutMs: number): Promise<void> {
    this.isLeaving = true;
    const {clock, periodMs, viewMembership} = this.opts;
    const startedMs = clock.now();
    while (
      viewMembership.viewIfMember() &&
      clock.now() - startedMs < timeoutMs
    ) {
      const hasNoChange = this.planChange().kind === 'none';
      if (hasNoChange) {
        return;
      }
      await this.reconcile();
      await clock.sleep(periodMs / 10);
    }
  }

  private async reconcileLoop(): Promise<void> {
    const {clock, periodMs, viewMembership} = this.opts;
    while (!this.stopping.signal.aborted) {
      await clock.sleep(periodMs, this.stopping.signal);
      await viewMembership.syncClaims();
      if (this.opts.isStateRecent() && !this.stopping.signal.aborted) {
        await this.reconcile();
      }
    }
  }

  private planChange(): ViewChange {
    const {membership, self, stateIndex, viewMembership} = this.opts;
    const view = this.opts.view();
    this.observed.update(view, stateIndex());
    const live = membership
      .livePeers()
      .filter(p => p.heartbeat.dataCentre === this.opts.dataCentre)
      .map(p => ({
        instanceId: p.instanceId,
        boot: p.heartbeat.boot,
        isDraining: p.heartbeat.state === 'draining',
      }));
    return planViewChange({
      view,
      self: {instanceId: self, boot: membership.boot},
      isSynced: viewMembership.isSynced(),
      isLeaving: this.isLeaving,
      live,
      laterIncarnation: member => this.observed.laterIncarnation(member),
      isAwaited: member => this.observed.isAwaited(member),
    });
  }

  private async reconcile(): Promise<void> {
    const change = this.planChange();
    switch (change.kind) {
      case 'none':
        return;
      case 'renew':
        this.opts.startNewIncarnation();
        return;
      case 'members':
        await this.proposeView(change.members, undefined);
        return;
      case 'reset':
        await this.proposeView(change.members, {
          replaced: change.replaced,
          byOperator: false,
        });
        return;
      default:
        change satisfies never;
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
