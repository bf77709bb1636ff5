import type {OrderRejection} from './order_rejection.js';

/**
 * Result of an order to a target.
 *
 * @description `unknown`: no usable answer came; the order may have been
 * carried out, or may be carried out later.
 */
export type OrderResult =
  | {readonly kind: 'accepted'; readonly clockMs: number}
  | {
      readonly kind: 'rejected';
      readonly reason: OrderRejection;
      /** Time on the target's clock; undefined if the answer has none. */
      readonly clockMs: number | undefined;
    }
  | {readonly kind: 'unknown'; readonly reason: string};
