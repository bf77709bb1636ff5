import type {CallerId} from '../ids/caller_id.js';
import type {JobId} from '../ids/job_id.js';
import type {KindId} from '../ids/kind_id.js';
import type {ServiceId} from '../ids/service_id.js';
import type {TeamId} from '../ids/team_id.js';
import type {TaskSpec} from './task_spec.js';

/**
 * A job as submitted by a caller.
 */
export interface JobSpec {
  readonly id: JobId;
  readonly service: ServiceId;
  readonly kind: KindId;
  readonly caller: CallerId;
  readonly team: TeamId;
  readonly urgency: number;
  readonly deadlineMs: number;
  readonly tasks: readonly TaskSpec[];
}
