import type {PoolDigest} from './pool_digest.js';

/**
 * Load and free capacity of an instance and its data centre, by service.
 */
export interface InstanceDigest {
  readonly own: Readonly<Record<string, PoolDigest>>;
  readonly dataCentre: Readonly<Record<string, PoolDigest>>;
}
