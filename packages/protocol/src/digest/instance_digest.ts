import type {PoolDigest} from './pool_digest.js';

/**
 * Room of an instance and of its data centre, by service.
 */
export interface InstanceDigest {
  readonly own: Readonly<Record<string, PoolDigest>>;
  readonly dataCentre: Readonly<Record<string, PoolDigest>>;
}
