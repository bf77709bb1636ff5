import type {InstanceDigest} from '../digest/instance_digest.js';
import type {Outcome} from '../work/outcome.js';
import type {Work} from '../work/work.js';

/**
 * Forwards a piece of work to another instance.
 *
 * @description Stage `keeper`: the receiver sends the work to one of the
 * targets whose keeper it is. Stage `entry`: the receiver is in another data
 * centre and treats the work as if a caller had sent it.
 */
export interface DispatchCall {
  readonly req: {
    readonly stage: 'entry' | 'keeper';
    readonly work: Work;
    /** Version of refusals that the sender understands; absent in 1. */
    readonly refusalVersion?: number;
    /**
     * Number of the call at the sender, which tells apart copies of a request;
     * absent in versions before it, and ignored by them.
     */
    readonly dispatchNumber?: number;
  };
  readonly res: {
    readonly outcome: Outcome;
    readonly digest: InstanceDigest;
  };
}
