/**
 * Limits of each HTTP server of a process; times in milliseconds.
 */
export const HTTP_LIMITS = {
  headersTimeoutMs: 10_000,
  keepAliveTimeoutMs: 30_000,
} as const;
