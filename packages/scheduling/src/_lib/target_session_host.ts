import type {
  Clock,
  EventLog,
  JobId,
  TargetId,
  TaskId,
} from '@papayarun/protocol';
import type {SchedulerTiming} from '../scheduler/scheduler_timing.js';
import type {RunEnd} from '../target_port/run_end.js';
import type {TargetPort} from '../target_port/target_port.js';
import type {FencedTarget} from './fenced_target.js';
import type {RunRecord} from './run_record.js';

/**
 * Services and callbacks that a scheduler gives to its target sessions.
 */
export interface TargetSessionHost<R extends RunRecord = RunRecord> {
  readonly port: TargetPort;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly timing: SchedulerTiming;
  /** Fencing token of the scheduler's grant. */
  readonly token: number;
  /**
   * Monotonic time at which the first job was handed over to the scheduler, in
   * milliseconds; undefined if none was.
   */
  handedOverMs(): number | undefined;
  /**
   * Whether the scheduler that held the grant before may still run, and hand its
   * jobs over.
   */
  isFormerActive(): boolean;
  /**
   * Monotonic time by which the lease of a job's runs has to end by what is known
   * now of those that wait for the job, in milliseconds.
   */
  permissionEndMs(jobId: JobId): number;
  /**
   * Resolves once this process has read the messages that have arrived;
   * undefined unless it runs late.
   */
  catchUp(): Promise<void> | undefined;
  /** Called when a run has ended or its lease has expired. */
  onRunEnded(run: R, how: RunEnd): void;
  /** Called when a target lists a run as done that no longer counted as open. */
  onEarlierRunDone(targetId: TargetId, taskId: TaskId): void;
  /** Called when an order to start was certainly not carried out. */
  onRunNotStarted(run: R, reason: string): void;
  /** Called with the runs of a target when nothing listens at its address. */
  onTargetRefusing(runs: ReadonlyMap<TaskId, R>): void;
  /** Called when a target has seen a higher fencing token. */
  onFenced(session: FencedTarget<R>): void;
  /**
   * Called when the free capacity or the availability of a target has changed.
   */
  onChange(): void;
}
