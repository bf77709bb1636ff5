import type {JobId} from '../ids/job_id.js';
import type {Announcement} from '../target/announcement.js';
import type {RequestId} from '../ids/request_id.js';
import type {CancelledJob} from './cancelled_job.js';
import type {ClaimAnswered} from './claim_answered.js';
import type {ClaimEnded} from './claim_ended.js';
import type {TaskLoss} from '../scheduling/task_loss.js';
import type {Heartbeat} from './heartbeat.js';
import type {InFlightJob} from './in_flight_job.js';
import type {RegisteredJob} from './registered_job.js';
import type {ReleasedJob} from './released_job.js';

/**
 * One-way messages between instances.
 */
export interface PeerNotices {
  heartbeat: Heartbeat;
  announcement: Announcement;
  claimAnswered: ClaimAnswered;
  /**
   * Stands for `claimAnswered` if the answer is large; versions before it ignore
   * the notice.
   */
  claimEnded: ClaimEnded;
  /** Cancels a piece of work because no caller waits for it any more. */
  cancelDispatch: {
    readonly requestId: RequestId | string;
    /** Number of the call; versions before it cancel one copy of the request. */
    readonly dispatchNumber?: number;
  };
  /**
   * Shows that an instance still waits for the jobs that it has submitted, if it
   * sends nothing else; versions before it ignore the notice.
   */
  keepAlive: Record<string, never>;
  /** Cancels a job at its scheduler because no caller waits for it any more. */
  cancelJob: {readonly jobId: JobId};
  /**
   * Names the jobs that were cancelled while the receiver may have been cut off;
   * versions before it ignore the notice.
   */
  cancelledJobs: {readonly jobs: readonly CancelledJob[]};
  /**
   * Names the jobs that the sender has submitted, for the case that it is lost;
   * versions before it ignore the notice.
   */
  jobsInFlight: {
    readonly jobs: readonly InFlightJob[];
    /**
     * Time after the loss of the sender by which their runs have ended, in
     * milliseconds; absent in versions that name them to entry instances alone.
     */
    readonly runsEndAfterMs?: number;
  };
  /**
   * Names jobs whose callers have lost their connection, or whose runs have ended
   * since. State instances pass it on to all entry instances; versions before it
   * ignore the notice.
   */
  interruptedJobs: {
    readonly jobs: readonly InFlightJob[];
    /**
     * Time for which runs of other jobs may go on, which were too many to keep or
     * to name, in milliseconds; absent if there are none.
     */
    readonly othersForMs?: number;
  };
  /**
   * Tells entry instances that a target crashed under a task; versions before
   * it ignore the notice.
   */
  taskLost: TaskLoss;
  /**
   * Names the registered jobs of the sender to a state instance that takes the
   * place of a lost one; versions before it ignore the notice.
   */
  registeredJobs: {readonly jobs: readonly RegisteredJob[]};
  /** Ends registrations; versions before it ignore the notice. */
  releasedJobs: {readonly jobs: readonly ReleasedJob[]};
  /**
   * Tells a state instance that a scheduler has no runs left of a job that a lost
   * process had submitted; versions before it ignore the notice.
   */
  lostRunsEnded: {
    readonly jobId: JobId;
    /** Instance and number of the lost process. */
    readonly process: string;
  };
}
