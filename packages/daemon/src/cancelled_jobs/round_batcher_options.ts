/**
 * Options of a batcher of rounds.
 */
export interface RoundBatcherOptions<T, R> {
  /** Delay of a round, in which items of one moment gather; in milliseconds. */
  readonly delayMs: number;
  /** Shortest time between the starts of two rounds, in milliseconds. */
  readonly intervalMs: () => number;
  /** Sends a round. */
  readonly send: (items: readonly T[]) => Promise<R>;
}
