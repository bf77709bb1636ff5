import type {HoldOrder} from './hold_order.js';
import type {HoldResult} from './hold_result.js';
import type {OrderResult} from './order_result.js';
import type {StartOrder} from './start_order.js';
import type {StopOrder} from './stop_order.js';
import type {TargetEndpoint} from './target_endpoint.js';

/**
 * Interface through which the scheduler sends all orders to targets.
 */
export interface TargetPort {
  /** Starts a run of a task. */
  start(to: TargetEndpoint, order: StartOrder): Promise<OrderResult>;
  /** Stops a run; an order to start it that arrives later is rejected. */
  stop(to: TargetEndpoint, order: StopOrder): Promise<OrderResult>;
  /** Renews the lease of all runs on a target and lists runs and ends. */
  hold(to: TargetEndpoint, order: HoldOrder): Promise<HoldResult>;
  /** Closes the connections to a target. */
  closeConnections(to: TargetEndpoint): void;
}
