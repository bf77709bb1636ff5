import type {ClaimRecord} from '@papayarun/protocol';

/**
 * Result of one attempt to claim an id.
 *
 * @description
 * - `won`: the claim is recorded on every member of the view.
 * - `held`: another attempt already claimed the id.
 * - `retry`: the claim could not be recorded on all members; try again.
 * - `full`: the claim table of a member is full.
 */
export type ClaimAttemptResult =
  | {readonly kind: 'won'; readonly record: ClaimRecord}
  | {readonly kind: 'held'; readonly record: ClaimRecord}
  | {readonly kind: 'retry'; readonly reason: string}
  | {readonly kind: 'full'};
