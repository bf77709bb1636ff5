/**
 * Order to renew the lease of all runs on a target and to list runs and ends.
 */
export interface HoldOrder {
  /** Fencing token of the sender. */
  readonly token: number;
  /**
   * Number of the last end that the scheduler has seen; the target drops ends
   * up to it.
   */
  readonly lastSeenEnd: number;
  /**
   * End of the lease on the target's clock, in milliseconds; absent to leave it
   * as it is.
   */
  readonly leaseEndMs?: number;
  /**
   * Longest wait of the target for an end before it answers, in milliseconds.
   */
  readonly waitMs: number;
}
