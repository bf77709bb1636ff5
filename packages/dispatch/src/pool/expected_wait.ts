const MS_PER_SECOND = 1_000;

/**
 * Inputs of the expected wait of new work.
 */
export interface ExpectedWaitInput {
  /** Waiting work of the same kind that starts before the new work. */
  readonly queuedAhead: number;
  /** Mean run time of the kind, in milliseconds. */
  readonly runMs: number;
  /** Slots of the pool. */
  readonly slots: number;
  /** Weight of the kind. */
  readonly weight: number;
  /** Sum of the weights of all kinds with waiting or running work and of this kind. */
  readonly activeWeight: number;
  /** Recently measured starts of the kind per second. */
  readonly startsPerSecond: number;
}

/**
 * Expected wait of new work, in milliseconds.
 *
 * @description The guaranteed start rate of a kind is its share of the slots
 * divided by its run time (Little's law), whatever the load of other kinds. The
 * measured rate is higher when other kinds leave slots free. It is lower when
 * little work of the kind arrived, and is then ignored.
 * @param input - State of the pool.
 * @returns Milliseconds; Infinity without slots.
 * @throws Never.
 * @example
 * expectedWait({
 *   queuedAhead: 9, runMs: 100, slots: 10, weight: 1, activeWeight: 1, startsPerSecond: 0,
 * }); // 100
 */
export function expectedWait(input: ExpectedWaitInput): number {
  const share = (input.slots * input.weight) / input.activeWeight;
  const guaranteedPerSecond = (share * MS_PER_SECOND) / input.runMs;
  const perSecond = Math.max(guaranteedPerSecond, input.startsPerSecond);
  return perSecond > 0
    ? ((input.queuedAhead + 1) * MS_PER_SECOND) / perSecond
    : Infinity;
}
