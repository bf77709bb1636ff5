import type {TargetHealth} from './target_health.js';

/** Health of a target nothing is known about. */
export const HEALTHY: TargetHealth = {
  kind: 'healthy',
  failuresInRow: 0,
  failureRate: 0,
  ejections: 0,
};
