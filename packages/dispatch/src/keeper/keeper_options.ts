import type {Clock, EventLog, RandomSource} from '@papayarun/protocol';
import type {Policy} from '../policy/policy.js';
import type {TargetClient} from '../target_client/target_client.js';
import type {TargetRegistry} from '../target_registry/target_registry.js';

/**
 * What a keeper needs.
 */
export interface KeeperOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly policy: Policy;
  readonly log: EventLog;
  readonly registry: TargetRegistry;
  readonly client: TargetClient;
  readonly maxWaiting: number;
  /** Extra sends for each first send, for retries. */
  readonly retryRatio: number;
  /** Extra sends for each first send, for hedges. */
  readonly hedgeRatio: number;
}
