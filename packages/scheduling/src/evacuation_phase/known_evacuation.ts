/**
 * What is known of the evacuation of a data centre.
 */
export interface KnownEvacuation {
  readonly isEvacuated: boolean;
  /**
   * Monotonic time at which this instance learned of the order, or of its
   * withdrawal, in milliseconds; earlier for an order from before it started.
   */
  readonly learnedMs: number;
}
