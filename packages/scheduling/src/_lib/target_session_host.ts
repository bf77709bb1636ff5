import type {Clock, EventLog} from '@papayarun/protocol';
import type {SchedulerTiming} from '../scheduler/scheduler_timing.js';
import type {EndReport} from '../target_port/end_report.js';
import type {TargetPort} from '../target_port/target_port.js';
import type {RunRecord} from './run_record.js';

/**
 * What a lane asks of its scheduler.
 */
export interface TargetSessionHost {
  readonly port: TargetPort;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly timing: SchedulerTiming;
  /** Fencing token of the grant. */
  readonly token: number;
  /** A run has ended, or its lease has lapsed. */
  onRunEnded(run: RunRecord, how: EndReport['how']): void;
  /** An order to start was certainly not carried out. */
  onRunNotStarted(run: RunRecord, reason: string): void;
  /** A target has seen a higher fencing token. */
  onFenced(): void;
  /** Room or trust has changed. */
  onChange(): void;
}
