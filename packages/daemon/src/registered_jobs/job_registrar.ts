import type {
  Clock,
  InstanceId,
  JobEnd,
  JobId,
  JobRegistration,
  RegisteredJob,
  RegisterJobCall,
  RegistrationId,
  ReleasedJob,
} from '@papayarun/protocol';
import {processOfSubmission} from '../interrupted_jobs/process_of_submission.js';
import {checkDuration} from '../interrupted_jobs/check_duration.js';
import {checkRegisteredJob} from './check_registered_job.js';
import type {JobRegistrarOptions} from './job_registrar_options.js';

/** Time for which the end of a job is kept, in milliseconds. */
const END_KEPT_MS = 30_000;
/** Most ends kept; the oldest are dropped first. */
const MAX_ENDS = 16_384;
/** Most jobs held at once; more are granted without being recorded. */
const MAX_HELD = 32_768;

/** Job that a process has. Not a job that `HeldJobs` keeps from being submitted. */
interface HeldJob {
  readonly instance: InstanceId;
  readonly process: string;
  registrationId: RegistrationId;
  /** Monotonic time by which its runs have ended, in milliseconds. */
  untilMs: number;
  readonly runsEndAfterLossMs: number;
  /** Whether the link to the instance is lost. */
  isLost: boolean;
  /** Whether a scheduler has told that runs of the process have ended. */
  haveRunsEnded: boolean;
  /** Registrations that wait for this one, in the order of their arrival. */
  readonly waiting: Set<Waiting>;
}

interface Waiting {
  readonly instance: InstanceId;
  readonly job: RegisteredJob;
  readonly settled: AbortController;
  readonly resolve: (registration: JobRegistration) => void;
}

/**
 * Part of a state instance that lets one process at a time have a job.
 *
 * @description Copies of a request may arrive at any entry instance, while the job
 * runs or after it has ended. Each job has one registrar among the state instances,
 * which all entry instances ask before they submit it.
 */
export class JobRegistrar {
  private readonly clock: Clock;
  private readonly held = new Map<JobId, HeldJob>();
  /** In the order of the ends. */
  private readonly ends = new Map<
    JobId,
    {readonly end: JobEnd; readonly untilMs: number}
  >();

  private constructor({clock, network}: JobRegistrarOptions) {
    this.clock = clock;
    network.onCall('registerJob', async (from, req) => ({
      registration: await this.register(from, checkRegisteredJob(req)),
    }));
    network.onNotice('registeredJobs', (from, {jobs}) => {
      if (!Array.isArray(jobs)) {
        throw new Error('jobs is missing or not a list');
      }
      jobs.forEach(job => this.adopt(from, checkRegisteredJob(job)));
    });
    network.onNotice('releasedJobs', (_from, {jobs}) => {
      if (!Array.isArray(jobs)) {
        throw new Error('jobs is missing or not a list');
      }
      jobs.forEach(job => this.release(job));
    });
    network.onNotice('lostRunsEnded', (_from, {jobId, process}) =>
      this.recordRunsEnd(jobId, process),
    );
  }

  /**
   * Creates a registrar and serves the entry instances.
   *
   * @param opts - Clock and network.
   * @returns The registrar, without jobs.
   * @example
   * const registrar = JobRegistrar.create({clock, network});
   */
  static create(opts: JobRegistrarOptions): JobRegistrar {
    return new JobRegistrar(opts);
  }

  /** Number of jobs that a process has. */
  get heldJobs(): number {
    return this.held.size;
  }

  /** Number of jobs whose end is kept. */
  get endedJobs(): number {
    return this.ends.size;
  }

  /**
   * Records that an instance is lost, or the link to it. Its jobs are free when
   * their runs have ended.
   *
   * @param instance - The instance.
   */
  recordLoss(instance: InstanceId): void {
    for (const [jobId, job] of this.held) {
      for (const waiting of job.waiting) {
        if (waiting.instance === instance) {
          settle(job, waiting, {kind: 'held'});
        }
      }
      if (job.instance === instance && !job.isLost) {
        job.isLost = true;
        const endMs = this.clock.now() + job.runsEndAfterLossMs;
        job.untilMs = Math.min(job.untilMs, endMs);
        if (job.haveRunsEnded) {
          this.free(jobId, job);
        } else {
          void this.freeLater(jobId, job);
        }
      }
    }
  }

  private register(
    instance: InstanceId,
    req: RegisterJobCall['req'],
  ): Promise<JobRegistration> | JobRegistration {
    this.forgetOld();
    const {jobId} = req;
    const ended = this.ends.get(jobId);
    if (ended) {
      return {kind: 'ended', end: ended.end};
    }
    const holder = this.holderOf(jobId);
    if (!holder) {
      this.hold(instance, req, new Set());
      return {kind: 'granted'};
    }
    if (holder.process === processOf(req)) {
      this.renew(holder, req);
      return {kind: 'granted'};
    }
    const waitMs = checkDuration(req.waitMs) ?? 0;
    return waitMs > 0
      ? this.wait(instance, req, holder, waitMs)
      : {kind: 'held'};
  }

  /** Records a job that its process has already, unless another one has it. */
  private adopt(instance: InstanceId, job: RegisteredJob): void {
    const holder = this.holderOf(job.jobId);
    if (!holder) {
      this.hold(instance, job, new Set());
    } else if (holder.process === processOf(job)) {
      this.renew(holder, job);
    }
  }

  private renew(holder: HeldJob, job: RegisteredJob): void {
    holder.registrationId = job.registrationId;
    holder.untilMs = this.clock.now() + job.endsWithinMs;
    holder.isLost = false;
    holder.haveRunsEnded = false;
  }

  private hold(
    instance: InstanceId,
    job: RegisteredJob,
    waiting: Set<Waiting>,
  ): void {
    if (this.held.size < MAX_HELD) {
      this.held.set(job.jobId, {
        instance,
        process: processOf(job),
        registrationId: job.registrationId,
        untilMs: this.clock.now() + job.endsWithinMs,
        runsEndAfterLossMs: job.runsEndAfterLossMs,
        isLost: false,
        haveRunsEnded: false,
        waiting,
      });
    }
  }

  private async wait(
    instance: InstanceId,
    job: RegisteredJob,
    holder: HeldJob,
    waitMs: number,
  ): Promise<JobRegistration> {
    const settled = new AbortController();
    let resolve: Waiting['resolve'] = () => undefined;
    const registration = new Promise<JobRegistration>(r => (resolve = r));
    const waiting = {instance, job, settled, resolve};
    holder.waiting.add(waiting);
    await this.clock.sleep(waitMs, settled.signal);
    this.held.get(job.jobId)?.waiting.delete(waiting);
    resolve({kind: 'held'});
    return registration;
  }

  private release({jobId, registrationId, end}: ReleasedJob): void {
    const job = this.held.get(jobId);
    if (job && job.registrationId !== registrationId) {
      return;
    }
    if (end === 'completed' || end === 'failed') {
      this.ends.delete(jobId);
      this.ends.set(jobId, {end, untilMs: this.clock.now() + END_KEPT_MS});
      this.forgetOld();
    }
    if (job) {
      this.free(jobId, job, end);
    }
  }

  private recordRunsEnd(jobId: JobId, process: string): void {
    const job = this.held.get(jobId);
    if (job?.process === process) {
      job.haveRunsEnded = true;
      if (job.isLost) {
        this.free(jobId, job);
      }
    }
  }

  /** Process that has a job; one whose runs have ended has it no longer. */
  private holderOf(jobId: JobId): HeldJob | undefined {
    const job = this.held.get(jobId);
    if (job && this.clock.now() >= job.untilMs) {
      this.free(jobId, job);
    }
    return this.held.get(jobId);
  }

  private async freeLater(jobId: JobId, job: HeldJob): Promise<void> {
    await this.clock.sleep(Math.max(0, job.untilMs - this.clock.now()));
    if (job.isLost && this.clock.now() >= job.untilMs) {
      this.free(jobId, job);
    }
  }

  /** Gives a job to the registration that has waited longest, unless it ended. */
  private free(jobId: JobId, job: HeldJob, end?: JobEnd): void {
    if (this.held.get(jobId) !== job) {
      return;
    }
    this.held.delete(jobId);
    if (end) {
      job.waiting.forEach(waiting =>
        settle(job, waiting, {kind: 'ended', end}),
      );
      return;
    }
    const [next] = job.waiting;
    if (next) {
      settle(job, next, {kind: 'granted'});
      this.hold(next.instance, next.job, job.waiting);
    }
  }

  private forgetOld(): void {
    const nowMs = this.clock.now();
    for (const [jobId, {untilMs}] of this.ends) {
      if (untilMs > nowMs && this.ends.size <= MAX_ENDS) {
        break;
      }
      this.ends.delete(jobId);
    }
    for (const [jobId, job] of this.held) {
      if (job.untilMs > nowMs) {
        break;
      }
      this.free(jobId, job);
    }
  }
}

function processOf({registrationId}: RegisteredJob): string {
  return processOfSubmission(registrationId);
}

function settle(
  job: HeldJob,
  waiting: Waiting,
  registration: JobRegistration,
): void {
  job.waiting.delete(waiting);
  waiting.settled.abort();
  waiting.resolve(registration);
}
