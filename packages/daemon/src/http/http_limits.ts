import type {SegmentPool} from '../growing_buffer/segment_pool.js';
import type {LimitKind} from '../limit_monitor/limit_kind.js';
import type {TransferBudget} from '../transfer_budget/transfer_budget.js';

/**
 * Limits that all HTTP listeners of a process share.
 */
export interface HttpLimits {
  readonly budget: TransferBudget;
  /** Memory for large bodies, as much as the budget. */
  readonly pool: SegmentPool;
  /** Called when a limit was reached. */
  readonly onLimit: (limit: LimitKind) => void;
}
