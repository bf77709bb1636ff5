import type {EndReport} from './end_report.js';
import type {OrderRejection} from './order_rejection.js';
import type {RunReport} from './run_report.js';

/**
 * Result of an order to hold.
 *
 * @description `unknown`: no usable answer came; the order may have been
 * carried out.
 */
export type HoldResult =
  | {
      readonly kind: 'held';
      readonly clockMs: number;
      /**
       * Time of birth of the incarnation that answered, in Unix milliseconds;
       * undefined if the answer has none.
       */
      readonly bornMs: number | undefined;
      readonly running: readonly RunReport[];
      readonly ended: readonly EndReport[];
    }
  | {
      readonly kind: 'rejected';
      readonly reason: OrderRejection;
      readonly clockMs: number | undefined;
    }
  | {readonly kind: 'unknown'; readonly reason: string};
