import type {JobCommand} from '../job/job_command.js';
import type {JobView} from '../job/job_view.js';
import type {Refusal} from '../refusal/refusal.js';

/**
 * Forwards a job command to the job's home data centre or owner.
 */
export interface JobCall {
  readonly req: {
    readonly command: JobCommand;
    /** Version of refusals that the sender understands; absent in 1. */
    readonly refusalVersion?: number;
  };
  readonly res:
    | {readonly kind: 'job'; readonly job: JobView}
    | {readonly kind: 'refused'; readonly refusal: Refusal};
}
