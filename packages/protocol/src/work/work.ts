import type {CallerId} from '../ids/caller_id.js';
import type {JobId} from '../ids/job_id.js';
import type {KindId} from '../ids/kind_id.js';
import type {RequestId} from '../ids/request_id.js';
import type {ServiceId} from '../ids/service_id.js';
import type {TaskId} from '../ids/task_id.js';
import type {TeamId} from '../ids/team_id.js';
import type {Resources} from './resources.js';

/**
 * One piece of work on its way to a target or worker.
 */
export interface Work {
  readonly requestId: RequestId | TaskId;
  readonly service: ServiceId;
  readonly kind: KindId;
  readonly caller: CallerId;
  readonly team: TeamId;
  /** 0 (least urgent) to 3 (most urgent). */
  readonly urgency: number;
  /** Milliseconds left until nobody waits for the answer. */
  readonly deadlineMs: number;
  readonly repeatable: boolean;
  /** Run time that the caller declares, in milliseconds. */
  readonly declaredRunMs?: number;
  /** Job that a task belongs to. */
  readonly job?: JobId;
  /** What a task needs of a worker; absent for a request to a target. */
  readonly needs?: Resources;
  readonly path: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** Behaviours in force for the customer, as JSON, if one was named. */
  readonly behaviours?: string;
}
