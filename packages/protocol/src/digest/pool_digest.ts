import type {KindDigest} from './kind_digest.js';

/**
 * Load and free capacity for one service, as shared between instances.
 */
export interface PoolDigest {
  readonly slots: number;
  readonly free: number;
  readonly queued: number;
  /** Queued and running work by kind; kinds without work are omitted. */
  readonly kinds: Readonly<Record<string, KindDigest>>;
  /** Estimated mean run time in milliseconds; 0 while unknown. */
  readonly runMs: number;
  /** Largest resources of any single worker; present for workers only. */
  readonly largest?: {
    readonly cores: number;
    readonly memoryMb: number;
    readonly accelerators: number;
  };
}
