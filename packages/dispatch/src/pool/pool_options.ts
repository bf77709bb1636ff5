import type {
  Clock,
  EventLog,
  RandomSource,
  ServiceId,
} from '@papayarun/protocol';
import type {Policy} from '../policy/policy.js';

/**
 * What a pool needs.
 */
export interface PoolOptions {
  readonly service: ServiceId;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly policy: Policy;
  readonly log: EventLog;
  /** Work that may wait here, over all kinds. */
  readonly maxWaiting: number;
}
