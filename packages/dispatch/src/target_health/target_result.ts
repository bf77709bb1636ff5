/**
 * Result of one request to a target that counts towards its health.
 */
export type TargetResult = 'succeeded' | 'failed' | 'unreachable';
