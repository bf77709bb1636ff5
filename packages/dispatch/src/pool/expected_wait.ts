const MS_PER_SECOND = 1_000;

/**
 * What the expected wait of new work depends on.
 */
export interface ExpectedWaitInput {
  /** Work of the same kind that waits and starts before it. */
  readonly ahead: number;
  /** Mean run time of the kind, in milliseconds. */
  readonly runMs: number;
  readonly slots: number;
  readonly weight: number;
  /** Sum of the weights of all kinds that wait or run, with this one. */
  readonly activeWeight: number;
  /** Starts of the kind a second, as measured lately. */
  readonly startsPerSecond: number;
}

/**
 * Time that new work will wait, in milliseconds.
 *
 * @description A kind starts at least at the rate that its share of the slots
 * allows (Little's law), whatever the others want. The measured rate is higher
 * when others leave room; it is lower when the kind itself wanted little, and
 * then says nothing.
 * @param input - State of the pool.
 * @returns Milliseconds; infinite without slots.
 * @throws Never.
 * @example
 * expectedWait({
 *   ahead: 9, runMs: 100, slots: 10, weight: 1, activeWeight: 1, startsPerSecond: 0,
 * }); // 100
 */
export function expectedWait(input: ExpectedWaitInput): number {
  const share = (input.slots * input.weight) / input.activeWeight;
  const guaranteed = (share * MS_PER_SECOND) / input.runMs;
  const perSecond = Math.max(guaranteed, input.startsPerSecond);
  return perSecond > 0
    ? ((input.ahead + 1) * MS_PER_SECOND) / perSecond
    : Infinity;
}
