import type {
  Clock,
  EventLog,
  JobId,
  JobOutcome,
  ScheduledJob,
  ShardId,
  TargetId,
} from '@papayarun/protocol';
import type {PlacementPolicy} from '../reservation/placement_policy.js';
import type {RunTimeEstimator} from '../run_time_estimator/run_time_estimator.js';
import type {TargetPort} from '../target_port/target_port.js';
import type {EvacuationPhase} from '../evacuation_phase/evacuation_phase.js';
import type {CrashEvidence} from '../crash_evidence/crash_evidence.js';
import type {Forecast} from './forecast.js';
import type {SchedulerTiming} from './scheduler_timing.js';

/**
 * Dependencies and callbacks of a scheduler.
 */
export interface SchedulerOptions {
  readonly targetClient: TargetPort;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly timing: SchedulerTiming;
  /** Shard whose targets are scheduled. */
  readonly shard: ShardId;
  /** Run times learnt from jobs, shared by the schedulers of an instance. */
  readonly estimator: RunTimeEstimator;
  /** How waiting tasks get their targets; `firstFit` if absent. */
  readonly placement?: PlacementPolicy;
  /** Tasks and kinds that crash their targets, shared like the run times. */
  readonly crashes: CrashEvidence;
  /** Number of shards in service in all data centres, including this one. */
  readonly shardCount: () => number;
  /**
   * What may be started on the targets of the data centre; absent where data
   * centres are not evacuated.
   */
  readonly evacuationPhase?: () => EvacuationPhase;
  /** Whether the log assigns a target to the shard. */
  readonly ownsTarget: (targetId: TargetId) => boolean;
  /**
   * Whether the scheduler that held the grant before may still run, and hand its
   * jobs over; absent where it isn't known.
   */
  readonly isFormerActive?: () => boolean;
  /** Time by which the event loop runs late, in milliseconds. */
  readonly loopLagMs: () => number;
  /**
   * Monotonic time at which an instance that waits for a job was last known to do
   * so, in milliseconds; undefined if its silence means nothing, -Infinity if
   * nobody waits for the job.
   */
  readonly requesterHeardMs?: (jobId: JobId) => number | undefined;
  /**
   * Time for which runs of a job may go on that this scheduler doesn't know of, in
   * milliseconds; absent if there are none.
   */
  readonly otherRunsForMs?: (jobId: JobId) => number;
  /**
   * Resolves once this process has read the messages that have arrived;
   * undefined unless it runs late.
   */
  readonly catchUp?: () => Promise<void> | undefined;
  /**
   * Called when a target has seen a higher fencing token than that of the
   * grant.
   */
  readonly onFenced: (token: number) => void;
  /** Called with each job that has ended, for metrics. */
  readonly onOutcome: (
    job: ScheduledJob,
    outcome: JobOutcome,
    tookMs: number,
    forecast: Forecast | undefined,
  ) => void;
}
