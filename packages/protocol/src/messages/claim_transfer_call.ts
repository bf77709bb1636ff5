import type {ClaimRecord} from './claim_record.js';

/**
 * Requests a page of claims from a member of the claim view.
 */
export interface ClaimTransferCall {
  readonly req: {readonly epoch: number; readonly afterId: string};
  readonly res:
    | {
        readonly kind: 'page';
        readonly records: readonly ClaimRecord[];
        readonly done: boolean;
      }
    | {readonly kind: 'notYet'};
}
