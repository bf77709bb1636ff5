import type {
  Clock,
  EventLog,
  RandomSource,
  ServiceId,
} from '@papayarun/protocol';
import type {Policy} from '../policy/policy.js';

/**
 * Dependencies and settings of a pool.
 */
export interface PoolOptions {
  readonly service: ServiceId;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly policy: Policy;
  readonly log: EventLog;
  /** Maximum pieces of work that wait in the pool, over all kinds. */
  readonly maxWaiting: number;
}
