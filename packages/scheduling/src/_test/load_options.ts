import type {TargetId} from '@papayarun/protocol';
import type {SchedulerOptions} from '../scheduler/scheduler_options.js';

/** Faults and callers of a replayed load. */
export interface LoadOptions {
  /** Duration of the arrivals, in milliseconds. */
  readonly loadMs: number;
  /**
   * Time that a scheduler takes to send an order or to read an answer, in
   * milliseconds.
   */
  readonly eventMs: number;
  /** Share of the tasks that take longer than the others. */
  readonly longShare?: number;
  /** Factor of the run time of these tasks. */
  readonly longFactor?: number;
  /** Time for which callers wait, in milliseconds. */
  readonly leftMs?: number;
  readonly hungTarget?: TargetId;
  /** Time from which runs on the hung target stand still, in milliseconds. */
  readonly hungFromMs?: number;
  /** Share of the jobs that arrive at the first shard. */
  readonly hotShare?: number;
  /** Share of the callers that leave after 0.7 times the objective. */
  readonly leavingShare?: number;
  /** Whether refused callers return after the time that they are told. */
  readonly areReturning?: boolean;
  /** Options of the schedulers that differ from the defaults. */
  readonly scheduler?: Partial<SchedulerOptions>;
}
