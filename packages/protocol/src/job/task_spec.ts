import type {Resources} from '../work/resources.js';

/**
 * One task of a job, as declared by the caller.
 */
export interface TaskSpec {
  readonly needs: Resources;
  /** Declared run time in milliseconds. */
  readonly runMs: number;
  /** JSON value passed to the worker. */
  readonly input: unknown;
}
