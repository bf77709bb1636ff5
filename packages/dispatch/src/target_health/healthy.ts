import type {TargetHealth} from './target_health.js';

/** Initial health of a target. */
export const HEALTHY: TargetHealth = {
  kind: 'healthy',
  failuresInRow: 0,
  failureRate: 0,
  ejections: 0,
};
