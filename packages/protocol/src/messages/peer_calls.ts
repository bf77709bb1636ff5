import type {CancelJobsCall} from './cancel_jobs_call.js';
import type {ClaimCall} from './claim_call.js';
import type {ClaimTransferCall} from './claim_transfer_call.js';
import type {AppendCall} from './append_call.js';
import type {FormCall} from './form_call.js';
import type {DispatchCall} from './dispatch_call.js';
import type {ListInstancesCall} from './list_instances_call.js';
import type {ListTargetsCall} from './list_targets_call.js';
import type {ReportTargetCall} from './report_target_call.js';
import type {ScheduleJobCall} from './schedule_job_call.js';
import type {JobCall} from './job_call.js';
import type {OwnerAnswerCall} from './owner_answer_call.js';
import type {ProposeCall} from './propose_call.js';
import type {PullStateCall} from './pull_state_call.js';
import type {QuoteJobCall} from './quote_job_call.js';
import type {ReadIndexCall} from './read_index_call.js';
import type {ReplicaStatusCall} from './replica_status_call.js';
import type {RegisterJobCall} from './register_job_call.js';
import type {ReleaseClaimCall} from './release_claim_call.js';
import type {VoteCall} from './vote_call.js';

/**
 * Calls between instances, each with its request and response types.
 */
export interface PeerCalls {
  vote: VoteCall;
  append: AppendCall;
  form: FormCall;
  replicaStatus: ReplicaStatusCall;
  propose: ProposeCall;
  readIndex: ReadIndexCall;
  pullState: PullStateCall;
  claim: ClaimCall;
  releaseClaim: ReleaseClaimCall;
  claimTransfer: ClaimTransferCall;
  ownerAnswer: OwnerAnswerCall;
  dispatch: DispatchCall;
  job: JobCall;
  scheduleJob: ScheduleJobCall;
  quoteJob: QuoteJobCall;
  cancelJobs: CancelJobsCall;
  registerJob: RegisterJobCall;
  reportTarget: ReportTargetCall;
  listTargets: ListTargetsCall;
  listInstances: ListInstancesCall;
}
