/**
 * What the expected wait of new work depends on.
 */
export interface ExpectedWaitInput {
  /** Work of the same kind, at least as urgent, that waits already. */
  readonly ahead: number;
  /** Mean run time of the kind, in milliseconds. */
  readonly runMs: number;
  readonly slots: number;
  readonly weight: number;
  /** Sum of the weights of all kinds that have work waiting, with this one. */
  readonly contendingWeight: number;
}

/**
 * Time that new work will wait, in milliseconds.
 *
 * @description A kind is served at the rate of its share of the slots over
 * its mean run time (Little's law).
 * @param input - State of the pool.
 * @returns Milliseconds; infinite without slots.
 * @throws Never.
 * @example
 * expectedWait({ahead: 9, runMs: 100, slots: 10, weight: 1, contendingWeight: 1}); // 100
 */
export function expectedWait(input: ExpectedWaitInput): number {
  const share = (input.slots * input.weight) / input.contendingWeight;
  return share > 0 ? ((input.ahead + 1) * input.runMs) / share : Infinity;
}
