import type {InstanceDigest} from '../digest/instance_digest.js';
import type {Outcome} from '../work/outcome.js';
import type {Work} from '../work/work.js';

/**
 * Hands a piece of work to another instance.
 *
 * @description Stage `keeper`: send it to one of your own targets. Stage
 * `entry`: treat it as if a caller had sent it to you (other data centre).
 */
export interface DispatchCall {
  readonly req: {
    readonly stage: 'entry' | 'keeper';
    readonly work: Work;
  };
  readonly res: {
    readonly outcome: Outcome;
    readonly digest: InstanceDigest;
  };
}
