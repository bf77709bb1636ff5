import type {Clock, EventLog, RandomSource} from '@papayarun/protocol';
import type {Policy} from '../policy/policy.js';
import type {TargetClient} from '../target_client/target_client.js';
import type {TargetRegistry} from '../target_registry/target_registry.js';

/**
 * Dependencies and settings of a keeper.
 */
export interface KeeperOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly policy: Policy;
  readonly log: EventLog;
  readonly registry: TargetRegistry;
  readonly client: TargetClient;
  /** Maximum pieces of work that wait per service, over all kinds. */
  readonly maxWaiting: number;
  /** Retries allowed per piece of work; 0.1 allows 10 %. */
  readonly retryRatio: number;
  /** Hedged sends allowed per piece of work; 0.05 allows 5 %. */
  readonly hedgeRatio: number;
}
