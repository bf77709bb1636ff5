/**
 * How one request at a target ended, as far as its health is concerned.
 */
export type TargetResult = 'succeeded' | 'failed' | 'unreachable';
