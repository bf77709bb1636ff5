import {SegmentPool} from '../../growing_buffer/segment_pool.js';
import {TransferBudget} from '../../transfer_budget/transfer_budget.js';
import type {HttpLimits} from '../http_limits.js';

const BODY_BYTES = 128 * 1024 * 1024;

/**
 * Creates limits of a test that no request of it reaches.
 *
 * @returns The limits.
 * @throws Never.
 * @example
 * const limits = createHttpLimits();
 */
export function createHttpLimits(): HttpLimits {
  return {
    budget: TransferBudget.create(BODY_BYTES, () => performance.now()),
    pool: SegmentPool.create(BODY_BYTES),
    onLimit: () => undefined,
  };
}
