import type {
  Clock,
  DataCentreId,
  EventLog,
  InstanceId,
  JobId,
  SubmissionId,
  TaskLoss,
} from '@papayarun/protocol';
import type {ControlStore, SchedulerGrant} from '@papayarun/releases';
import type {
  EvacuationPhase,
  PlacementPolicy,
  SchedulerTiming,
  TargetPort,
} from '@papayarun/scheduling';
import type {Metrics} from '../metrics/metrics.js';

/**
 * Options of the schedulers of an entry instance.
 */
export interface LocalSchedulersOptions {
  readonly self: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly targetClient: TargetPort;
  readonly timing: SchedulerTiming;
  readonly store: Pick<ControlStore, 'state'>;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Pick<
    Metrics,
    'recordJob' | 'recordForecastError' | 'recordFreeSlots'
  >;
  /** What may be started on the targets of the data centre. */
  readonly evacuationPhase?: () => EvacuationPhase;
  /** How waiting tasks get their targets; `firstFit` if absent. */
  readonly placement?: PlacementPolicy;
  readonly loopLagMs: () => number;
  /**
   * Monotonic time at which an instance was last known to run, in milliseconds;
   * undefined without a link to it.
   */
  readonly heardMs: (requester: InstanceId) => number | undefined;
  /** Whether another instance is known to run in the incarnation of its grant. */
  readonly isHolderActive: (grant: SchedulerGrant) => boolean;
  /**
   * Resolves once this process has read the messages that have arrived;
   * undefined unless it runs late.
   */
  readonly catchUp: () => Promise<void> | undefined;
  /** Resolves when what has arrived on open connections has been read. */
  readonly afterNextReading?: () => Promise<unknown>;
  /**
   * Time for which runs of a job may go on that are not known here, in
   * milliseconds.
   */
  readonly otherRunsForMs?: (
    jobId: JobId,
    isKnown: (submissionId: SubmissionId) => boolean,
  ) => number;
  /** Called before the first run of a submission of this instance starts. */
  readonly onAdmitted: () => void;
  /** Called when the requester of a submission is lost. */
  readonly onRequesterLost: (jobId: JobId, submissionId: SubmissionId) => void;
  /** Called when the runs of a submission have ended whose requester was lost. */
  readonly onLostSubmissionEnded: (
    jobId: JobId,
    submissionId: SubmissionId,
  ) => void;
  /** Called when a target has crashed under a task. */
  readonly onTaskLost: (loss: TaskLoss) => void;
}
