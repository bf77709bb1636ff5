import type {ClaimRecord} from '@papayarun/protocol';

/**
 * What came of one attempt to claim an id.
 */
export type ClaimAttempt =
  | {readonly kind: 'won'; readonly record: ClaimRecord}
  | {readonly kind: 'held'; readonly record: ClaimRecord}
  | {readonly kind: 'retry'; readonly reason: string}
  | {readonly kind: 'full'};
