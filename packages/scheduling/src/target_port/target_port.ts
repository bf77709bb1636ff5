import type {HoldOrder} from './hold_order.js';
import type {HoldResult} from './hold_result.js';
import type {OrderResult} from './order_result.js';
import type {StartOrder} from './start_order.js';
import type {StopOrder} from './stop_order.js';
import type {TargetEndpoint} from './target_endpoint.js';

/**
 * Orders to targets that run tasks; the only way of the scheduler to them.
 */
export interface TargetPort {
  /** Starts a run of a task. */
  start(to: TargetEndpoint, order: StartOrder): Promise<OrderResult>;
  /** Stops a run; a run that has not arrived yet is rejected from then on. */
  stop(to: TargetEndpoint, order: StopOrder): Promise<OrderResult>;
  /** Renews the lease of all runs there and lists runs and ends. */
  hold(to: TargetEndpoint, order: HoldOrder): Promise<HoldResult>;
  /** Closes the connections to a target. */
  release(to: TargetEndpoint): void;
}
