import type {TargetId, TargetReport} from '@papayarun/protocol';

/**
 * Time in which a report that was sent before the departure may still arrive, in
 * milliseconds; much longer than a partition delays a message.
 */
const MEMORY_MS = 60_000;

/**
 * Incarnations of targets that have left, and must not be used again.
 */
export class DepartedTargets {
  /** In the order of departure. */
  private readonly departures = new Map<
    TargetId,
    {readonly bornMs: number; readonly atMs: number}
  >();

  private constructor() {}

  /**
   * Creates an empty record of departures.
   *
   * @returns The record.
   * @example
   * const departed = DepartedTargets.create();
   */
  static create(): DepartedTargets {
    return new DepartedTargets();
  }

  /** Records that the incarnation of a report has left. */
  add({targetId, bornMs}: TargetReport, nowMs: number): void {
    for (const [id, {atMs}] of this.departures) {
      if (nowMs - atMs < MEMORY_MS) {
        break;
      }
      this.departures.delete(id);
    }
    // Without a time of birth, another incarnation can't be told from this one.
    if (bornMs > 0) {
      this.departures.delete(targetId);
      this.departures.set(targetId, {bornMs, atMs: nowMs});
    }
  }

  /** Whether the incarnation of a report, or a later one, has left. */
  has({targetId, bornMs}: TargetReport): boolean {
    const departure = this.departures.get(targetId);
    return departure !== undefined && bornMs <= departure.bornMs;
  }
}
