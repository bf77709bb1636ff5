/**
 * Timeouts of each HTTP server of a process, in milliseconds.
 */
export const HTTP_TIMEOUTS = {
  headersMs: 10_000,
  keepAliveMs: 30_000,
} as const;
