/**
 * Order to renew the lease of all runs on a target.
 */
export interface HoldOrder {
  /** Fencing token of the sender. */
  readonly token: number;
  /** Ends up to this number are forgotten by the target. */
  readonly seenEnd: number;
  /** End of the lease on the target's clock; absent to only look. */
  readonly leaseEndMs?: number;
  /** How long the target may wait for an end, in milliseconds. */
  readonly waitMs: number;
}
