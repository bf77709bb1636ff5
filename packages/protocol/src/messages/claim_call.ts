import type {ClaimRecord} from './claim_record.js';

/**
 * Records a claim on a member of the data centre's claim view.
 */
export interface ClaimCall {
  readonly req: {readonly epoch: number; readonly record: ClaimRecord};
  readonly res:
    | {readonly kind: 'recorded'}
    | {readonly kind: 'held'; readonly record: ClaimRecord}
    | {readonly kind: 'wrongView'; readonly epoch: number}
    | {readonly kind: 'full'};
}
