/** Shortest lease under which a run is ordered, as a share of the longest one. */
export const MIN_LEASE_SHARE = 0.4;
