import type {JobId} from '../ids/job_id.js';
import type {Announcement} from '../target/announcement.js';
import type {RequestId} from '../ids/request_id.js';
import type {ClaimAnswered} from './claim_answered.js';
import type {Heartbeat} from './heartbeat.js';

/**
 * One-way messages between instances.
 */
export interface PeerNotices {
  heartbeat: Heartbeat;
  announcement: Announcement;
  claimAnswered: ClaimAnswered;
  /** Nobody waits any more for this piece of work. */
  cancelDispatch: {readonly requestId: RequestId | string};
  /** Nobody waits any more for a job at a scheduler. */
  cancelJob: {readonly jobId: JobId};
}
