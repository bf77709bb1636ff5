/**
 * Longest wait of a target before it answers a hold, as a share of the longest
 * lease. The rest is enough to notice that an answer is missing and to ask twice
 * more before the lease ends.
 */
export const HOLD_WAIT_SHARE = 0.5;
