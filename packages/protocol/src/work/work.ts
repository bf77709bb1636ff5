import type {CallerId} from '../ids/caller_id.js';
import type {JobId} from '../ids/job_id.js';
import type {KindId} from '../ids/kind_id.js';
import type {RequestId} from '../ids/request_id.js';
import type {ServiceId} from '../ids/service_id.js';
import type {TaskId} from '../ids/task_id.js';
import type {TeamId} from '../ids/team_id.js';
import type {Resources} from './resources.js';

/**
 * A piece of work (request or task) to be sent to a target or worker.
 */
export interface Work {
  readonly requestId: RequestId | TaskId;
  readonly service: ServiceId;
  readonly kind: KindId;
  readonly caller: CallerId;
  readonly team: TeamId;
  /** 0 (least urgent) to 3 (most urgent). */
  readonly urgency: number;
  /** Time until the caller stops waiting for the answer, in milliseconds. */
  readonly deadlineMs: number;
  readonly repeatable: boolean;
  /** Run time declared by the caller, in milliseconds. */
  readonly declaredRunMs?: number;
  /** Job of a task; absent for a request. */
  readonly job?: JobId;
  /** Resources that a task needs on a worker; absent for a request. */
  readonly needs?: Resources;
  readonly path: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** Behaviours in force for the customer, as JSON; absent if none is named. */
  readonly behaviours?: string;
}
