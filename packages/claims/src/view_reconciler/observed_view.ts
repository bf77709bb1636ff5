import type {Clock, InstanceId} from '@papayarun/protocol';
import type {PeerState} from '@papayarun/membership';
import type {ClaimView, ViewMember} from '@papayarun/releases';

/**
 * Dependencies of the observation of a claim view.
 */
export interface ObservedViewOptions {
  readonly clock: Pick<Clock, 'now'>;
  /** Latest state of a peer, alive or not. */
  readonly peer: (id: InstanceId) => PeerState | undefined;
  /** Silence after which a peer is considered dead, in milliseconds. */
  readonly timeoutOf: (id: InstanceId) => number;
}

/**
 * What this instance can tell of the members of a claim view from their
 * heartbeats.
 *
 * @description Boot ids have no order, so the index of the replicated log shows
 * which of two incarnations of an instance is the later one: the entry that added
 * a member was proposed after the member had started, and an earlier incarnation
 * had ended by then. An incarnation that has applied this entry is therefore no
 * earlier one.
 */
export class ObservedView {
  private epoch = 0;
  /** Index of the log at which this instance has seen the view first. */
  private index = Infinity;
  /** Monotonic time at which each member was seen first, in milliseconds. */
  private seenMs = new Map<string, number>();

  private constructor(private readonly opts: ObservedViewOptions) {}

  /**
   * Creates the observation of no view.
   *
   * @param opts - Clock and states of the peers.
   * @returns The observation.
   * @example
   * const observed = ObservedView.create(opts);
   */
  static create(opts: ObservedViewOptions): ObservedView {
    return new ObservedView(opts);
  }

  /**
   * Records the view in force.
   *
   * @param view - The view; undefined if there is none yet.
   * @param stateIndex - Index of the log that this instance has applied.
   */
  update(view: ClaimView | undefined, stateIndex: number): void {
    if (!view || view.epoch === this.epoch) {
      return;
    }
    this.epoch = view.epoch;
    this.index = stateIndex;
    const nowMs = this.opts.clock.now();
    this.seenMs = new Map(
      view.members.map(member => [
        keyOf(member),
        this.seenMs.get(keyOf(member)) ?? nowMs,
      ]),
    );
  }

  /**
   * Later incarnation of a member's instance.
   *
   * @param member - Member of the view.
   * @returns The later incarnation; undefined if none is known.
   */
  laterIncarnation(member: ViewMember): ViewMember | undefined {
    const {instanceId} = member;
    const heartbeat = this.opts.peer(instanceId)?.heartbeat;
    return heartbeat &&
      heartbeat.boot !== member.boot &&
      heartbeat.stateIndex >= this.index
      ? {instanceId, boot: heartbeat.boot}
      : undefined;
  }

  /**
   * Whether a member that was not heard yet may be alive: its silence counts from
   * the time at which this instance has seen it in the view first.
   *
   * @param member - Member of the view.
   * @returns False for a member that was heard, alive or not.
   */
  isAwaited(member: ViewMember): boolean {
    const {clock, peer, timeoutOf} = this.opts;
    const {instanceId} = member;
    const seenMs = this.seenMs.get(keyOf(member)) ?? -Infinity;
    return (
      peer(instanceId)?.heartbeat.boot !== member.boot &&
      this.laterIncarnation(member) === undefined &&
      clock.now() - seenMs <= timeoutOf(instanceId)
    );
  }
}

function keyOf({instanceId, boot}: ViewMember): string {
  return `${instanceId}/${boot}`;
}
