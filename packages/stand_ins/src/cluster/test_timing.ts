/**
 * Timing settings in milliseconds, shorter than the defaults to speed up tests.
 */
export const TEST_TIMING = {
  heartbeatMs: 200,
  peerTimeoutMs: 1_500,
  electionTimeoutMs: 300,
  cutOffAfterMs: 1_500,
  drainDelayMs: 500,
  taskLeaseMs: 1_500,
} as const;
