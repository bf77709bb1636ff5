import type {CallerPlan} from './caller_plan.js';
import type {SimulatedFault} from './simulated_fault.js';

/**
 * What happens in one run of a search.
 */
export interface SearchPlan {
  readonly seed: number;
  /** Number of targets of each data centre. */
  readonly targets: readonly number[];
  readonly callers: readonly CallerPlan[];
  readonly faults: readonly SimulatedFault[];
}
