import type {InstanceId, JobId, ScheduledJob} from '@papayarun/protocol';

/**
 * Submissions of this instance, each of a job or of a part of one, whose
 * outcome a caller waits for.
 */
export class WaitingSubmissions {
  private readonly byJob = new Map<string, Set<ScheduledJob>>();
  /** Number of jobs at each scheduler. */
  private readonly jobCounts = new Map<InstanceId, number>();

  private constructor() {}

  /**
   * Creates the record of no submissions.
   *
   * @returns The record.
   * @example
   * const submissions = WaitingSubmissions.create();
   */
  static create(): WaitingSubmissions {
    return new WaitingSubmissions();
  }

  /** Instances whose schedulers run a job that a caller waits for. */
  schedulers(): IterableIterator<InstanceId> {
    return this.jobCounts.keys();
  }

  /** Adds a submission; each has a job object of its own. */
  add(scheduler: InstanceId, job: ScheduledJob): void {
    const key = keyOf(scheduler, job.id);
    const jobs = this.byJob.get(key) ?? new Set();
    if (jobs.size === 0) {
      const count = this.jobCounts.get(scheduler) ?? 0;
      this.jobCounts.set(scheduler, count + 1);
    }
    this.byJob.set(key, jobs.add(job));
  }

  /** Removes a submission that has ended or that no caller waits for. */
  remove(scheduler: InstanceId, job: ScheduledJob): void {
    const key = keyOf(scheduler, job.id);
    const jobs = this.byJob.get(key);
    if (jobs?.delete(job) && jobs.size === 0) {
      this.byJob.delete(key);
      this.removeJob(scheduler);
    }
  }

  /** Whether a caller waits for a job, or for a part of it, at a scheduler. */
  has(scheduler: InstanceId, jobId: JobId): boolean {
    return this.byJob.has(keyOf(scheduler, jobId));
  }

  /** Instances whose schedulers run a job, or a part of it, for a caller. */
  schedulersOf(jobId: JobId): InstanceId[] {
    return [...this.jobCounts.keys()].filter(id => this.has(id, jobId));
  }

  private removeJob(scheduler: InstanceId): void {
    const count = this.jobCounts.get(scheduler)! - 1;
    if (count > 0) {
      this.jobCounts.set(scheduler, count);
    } else {
      this.jobCounts.delete(scheduler);
    }
  }
}

function keyOf(scheduler: InstanceId, jobId: JobId): string {
  return `${jobId} ${scheduler}`;
}
