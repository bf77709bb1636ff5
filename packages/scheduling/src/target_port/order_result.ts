import type {OrderRejection} from './order_rejection.js';

/**
 * What is known of an order.
 *
 * @description `unknown`: no answer came; it may have been carried out, or be
 * carried out later.
 */
export type OrderResult =
  | {readonly kind: 'accepted'; readonly clockMs: number}
  | {
      readonly kind: 'rejected';
      readonly reason: OrderRejection;
      /** The target's clock, if it said so. */
      readonly clockMs: number | undefined;
    }
  | {readonly kind: 'unknown'; readonly reason: string};
