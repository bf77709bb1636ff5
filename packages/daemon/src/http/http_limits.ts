import type {LimitKind} from '../limit_monitor/limit_kind.js';
import type {TransferBudget} from '../transfer_budget/transfer_budget.js';

/**
 * Limits that all HTTP listeners of a process share.
 */
export interface HttpLimits {
  readonly budget: TransferBudget;
  /** Called when a limit was reached. */
  readonly onLimit: (limit: LimitKind) => void;
}
