import type {
  JobId,
  JobSpec,
  JobView,
  Outcome,
  Refusal,
  Resources,
  TaskId,
  Work,
} from '@papayarun/protocol';
import {decodeJson, DispatchError, fitsIn} from '@papayarun/protocol';
import type {JobProgress} from './job_progress.js';
import type {JobRunnerOptions} from './job_runner_options.js';

/** Lowest HTTP status that counts as a failure of a task. */
const FIRST_ERROR_STATUS = 400;

interface RunningJob {
  readonly spec: JobSpec;
  readonly cancel: AbortController;
  finished: number;
}

/**
 * Runs the tasks of jobs whose claims this instance owns.
 *
 * @description A job is complete when every task was answered. The first failed
 * task cancels the others and fails the whole job. A task that may have started
 * is never sent again.
 */
export class JobRunner {
  private readonly jobs = new Map<JobId, RunningJob>();

  private constructor(private readonly opts: JobRunnerOptions) {}

  /**
   * Creates a runner without jobs.
   *
   * @param opts - Clock, log and the function that runs a task on a worker.
   * @returns The runner.
   * @example
   * const runner = JobRunner.create(opts);
   */
  static create(opts: JobRunnerOptions): JobRunner {
    return new JobRunner(opts);
  }

  /** Progress of a job that runs here, or undefined when it does not. */
  progress(id: JobId): JobProgress | undefined {
    const job = this.jobs.get(id);
    return job && {tasks: job.spec.tasks.length, finished: job.finished};
  }

  /** Cancels a job; returns false when it does not run here. */
  cancel(id: JobId): boolean {
    const job = this.jobs.get(id);
    job?.cancel.abort(
      DispatchError.notRun('cancelled', 'the job was cancelled'),
    );
    return job !== undefined;
  }

  /**
   * Runs a job to its end.
   *
   * @param spec - The job.
   * @returns The answer, holding a complete JobView, or a refusal.
   */
  async run(spec: JobSpec): Promise<Outcome> {
    const startedMs = this.opts.clock.now();
    const job: RunningJob = {spec, cancel: new AbortController(), finished: 0};
    this.jobs.set(spec.id, job);
    const refusal = await this.refusalAfterDiscovery(job);
    if (refusal) {
      this.jobs.delete(spec.id);
      return {kind: 'refused', refusal};
    }
    this.opts.log.emit('jobStarted', {
      job: spec.id,
      tasks: spec.tasks.length,
      kind: spec.kind,
    });
    const outcomes = await Promise.all(
      spec.tasks.map((_task, i) => this.runTask(job, i, startedMs)),
    );
    this.jobs.delete(spec.id);
    const outcome = this.combineOutcomes(spec, outcomes);
    this.opts.log.emit('jobEnded', {
      job: spec.id,
      outcome: outcome.kind,
      code: outcome.kind === 'refused' ? outcome.refusal.code : undefined,
      ms: Math.round(this.opts.clock.now() - startedMs),
    });
    return outcome;
  }

  /** Checks whether a job fits, once a worker of its service is known. */
  private async refusalAfterDiscovery({
    spec,
    cancel,
  }: RunningJob): Promise<Refusal | undefined> {
    for (;;) {
      const refusal = this.refusalOfUnfitJob(spec);
      const mayBecomeFit =
        refusal?.code === 'noTargets' &&
        (await this.opts.discovery.waitForTarget(
          spec.service,
          spec.deadlineMs,
          cancel.signal,
        ));
      if (!mayBecomeFit) {
        return refusal;
      }
    }
  }

  private async runTask(
    job: RunningJob,
    i: number,
    jobStartedMs: number,
  ): Promise<Outcome> {
    const waitedMs = this.opts.clock.now() - jobStartedMs;
    const outcome = await this.opts.route(
      workOfTask(job.spec, i, waitedMs),
      job.cancel.signal,
    );
    if (isSuccessful(outcome)) {
      job.finished++;
    } else {
      job.cancel.abort(
        DispatchError.notRun('cancelled', 'another task of the job failed'),
      );
    }
    return outcome;
  }

  /**
   * Refusal of a job with a task that exceeds every known worker, or of any job
   * without a ready worker; undefined when the job fits.
   */
  private refusalOfUnfitJob(spec: JobSpec): Refusal | undefined {
    const digest = this.opts.digest().dataCentre[spec.service];
    if (!digest?.largest || digest.slots === 0) {
      return DispatchError.notRun(
        'noTargets',
        `no worker of ${spec.service} is ready`,
      ).refusal;
    }
    const {largest} = digest;
    const unfitIndex = spec.tasks.findIndex(
      task => !fitsIn(task.needs, largest),
    );
    if (unfitIndex < 0) {
      return undefined;
    }
    const text = `no worker has the resources that task ${unfitIndex} needs: the largest have ${formatResources(largest)}`;
    return DispatchError.notRun('neverFits', text, {
      field: `$.tasks.${unfitIndex}.needs`,
    }).refusal;
  }

  private combineOutcomes(
    spec: JobSpec,
    outcomes: readonly Outcome[],
  ): Outcome {
    const failures = outcomes.filter(outcome => !isSuccessful(outcome));
    if (failures.length > 0) {
      return {kind: 'refused', refusal: refusalOfJob(outcomes, failures)};
    }
    const answers = outcomes.map(
      outcome => outcome.kind === 'answered' && parseBody(outcome.answer.body),
    );
    const release = this.opts.release();
    const view: JobView = {state: 'complete', id: spec.id, release, answers};
    const body = Buffer.from(JSON.stringify(view));
    return {
      kind: 'answered',
      answer: {status: 200, contentType: 'application/json', body, release},
    };
  }
}

function workOfTask(spec: JobSpec, i: number, waitedMs: number): Work {
  const task = spec.tasks[i]!;
  return {
    requestId: `${spec.id}:${i}` as TaskId,
    job: spec.id,
    service: spec.service,
    kind: spec.kind,
    caller: spec.caller,
    team: spec.team,
    urgency: spec.urgency,
    deadlineMs: Math.max(1, spec.deadlineMs - waitedMs),
    repeatable: false,
    declaredRunMs: task.runMs,
    needs: task.needs,
    path: '/v1/tasks',
    contentType: 'application/json',
    body: Buffer.from(
      JSON.stringify({
        taskId: `${spec.id}:${i}`,
        needs: task.needs,
        runMs: task.runMs,
        input: task.input ?? null,
      }),
    ),
  };
}

function isSuccessful(outcome: Outcome): boolean {
  return (
    outcome.kind === 'answered' && outcome.answer.status < FIRST_ERROR_STATUS
  );
}

/** Refusal of a failed job: `notRun` only if no task can have run. */
function refusalOfJob(
  outcomes: readonly Outcome[],
  failures: readonly Outcome[],
): Refusal {
  const refusals = failures.flatMap(f =>
    f.kind === 'refused' ? [f.refusal] : [],
  );
  const cause = refusals.find(r => r.code !== 'cancelled') ?? refusals[0];
  const noTaskRan =
    failures.length === outcomes.length &&
    refusals.length === failures.length &&
    refusals.every(r => r.verdict.kind === 'notRun');
  if (noTaskRan) {
    return cause!;
  }
  const isCancelled = cause?.code === 'cancelled';
  const text = cause?.message ?? 'a worker answered a task with an error';
  return DispatchError.mayHaveRun(
    isCancelled ? 'cancelled' : 'taskFailed',
    text,
  ).refusal;
}

function parseBody(body: Uint8Array): unknown {
  try {
    return decodeJson(body);
  } catch {
    return Buffer.from(body).toString('utf8');
  }
}

function formatResources(amount: Resources): string {
  return `${amount.cores} cores, ${amount.memoryMb} MB, ${amount.accelerators} accelerators`;
}
