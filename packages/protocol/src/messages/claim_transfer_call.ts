import type {ClaimRecord} from './claim_record.js';

/**
 * Asks a member for a page of its claims.
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
