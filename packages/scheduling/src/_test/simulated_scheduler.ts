import type {
  JobId,
  JobOutcome,
  JobQuote,
  ScheduledJob,
  TargetId,
  TargetReport,
} from '@papayarun/protocol';
import {EMPTY_QUOTE} from '@papayarun/protocol';
import type {Scheduler} from '../scheduler/scheduler.js';
import type {SchedulerLink} from './scheduler_link.js';
import type {TargetSimulation} from './target_simulation.js';

const LOST: JobOutcome = {kind: 'failed', reason: 'schedulerLost'};
const NOT_SCHEDULER: JobOutcome = {
  kind: 'refused',
  reason: 'notScheduler',
  retryAfterMs: 500,
  quote: EMPTY_QUOTE,
};

/**
 * Scheduler under one grant, as the entries reach it.
 */
export class SimulatedScheduler {
  readonly scheduler: Scheduler;
  private readonly link: SchedulerLink = {
    isDown: false,
    isDeaf: false,
    unreachable: new Set(),
  };
  /** Entries that wait for each job. */
  private readonly requesters = new Map<JobId, Set<string>>();
  private loseCalls: () => void = () => undefined;
  /** Resolves when the process is killed. */
  private readonly lost = new Promise<void>(
    resolve => (this.loseCalls = resolve),
  );

  /**
   * @param isFormerActive - Whether it knows the scheduler before it to run.
   */
  constructor(
    simulation: TargetSimulation,
    readonly token: number,
    isFormerActive: boolean,
  ) {
    this.scheduler = simulation.scheduler(false, this.link, isFormerActive);
    this.scheduler.begin(token);
  }

  /** Whether it still schedules; false once it has ended or was killed. */
  get isActive(): boolean {
    return !this.link.isDown && this.scheduler.token !== undefined;
  }

  /** Cuts off or restores the answers of the targets, while orders leave it. */
  setDeaf(isDeaf: boolean): void {
    this.link.isDeaf = isDeaf;
  }

  /** Cuts the scheduler off from a target, or restores the path to it. */
  setUnreachable(targetId: TargetId, isUnreachable: boolean): void {
    if (isUnreachable) {
      this.link.unreachable.add(targetId);
    } else {
      this.link.unreachable.delete(targetId);
    }
  }

  acceptReport(report: TargetReport): void {
    if (this.isActive) {
      this.scheduler.acceptReport(report);
    }
  }

  async submit(requester: string, job: ScheduledJob): Promise<JobOutcome> {
    if (this.link.isDown) {
      return NOT_SCHEDULER;
    }
    const requesters = this.requesters.get(job.id) ?? new Set();
    this.requesters.set(job.id, requesters.add(requester));
    const outcome = await Promise.race([
      this.scheduler.submit(job),
      this.lost.then(() => LOST),
    ]);
    if (this.link.isDown) {
      return LOST;
    }
    this.requesters.delete(job.id);
    return outcome;
  }

  quote(job: ScheduledJob): JobQuote {
    return this.link.isDown ? EMPTY_QUOTE : this.scheduler.quote(job);
  }

  /** Cancels a job unless another entry waits for it too. */
  cancel(requester: string, jobId: JobId): void {
    const requesters = this.requesters.get(jobId);
    requesters?.delete(requester);
    if (requesters?.size === 0 && !this.link.isDown) {
      this.scheduler.cancel(jobId);
    }
  }

  /** Ends the process: no order, answer or outcome leaves it any more. */
  kill(): void {
    this.link.isDown = true;
    this.loseCalls();
    this.scheduler.end();
  }
}
