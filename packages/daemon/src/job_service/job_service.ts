import type {JobRunner} from '@papayarun/dispatch';
import type {Claims} from '@papayarun/claims';
import type {
  DataCentreId,
  InstanceId,
  JobCommand,
  JobId,
  JobView,
  Outcome,
  PeerNetwork,
  Refusal,
} from '@papayarun/protocol';
import {
  DispatchError,
  PeerCallError,
  REFUSAL_VERSION,
  fingerprint,
  parseRequestKey,
  refusalForVersion,
  refusalFromError,
} from '@papayarun/protocol';

/**
 * Time that a cancelled job has to end, and part of the extra time that a
 * forwarded command has to be answered; in milliseconds.
 */
const REPLY_GRACE_MS = 2_000;
const NEVER_ABORTED = new AbortController().signal;

/**
 * Options of the job service.
 */
export interface JobServiceOptions {
  readonly dataCentre: DataCentreId;
  readonly network: PeerNetwork;
  readonly claims: Claims;
  readonly runner: JobRunner;
  /** A live instance of another data centre. */
  readonly pickReadyInstance: (
    dataCentre: DataCentreId,
  ) => InstanceId | undefined;
}

/**
 * Executes job commands, or forwards them to the instance that owns the job.
 */
export class JobService {
  private constructor(private readonly opts: JobServiceOptions) {}

  /**
   * Creates the service and serves the `job` calls of peers.
   *
   * @param opts - Network, claims and runner.
   * @returns The service.
   * @example
   * const jobs = JobService.create(opts);
   */
  static create(opts: JobServiceOptions): JobService {
    const service = new JobService(opts);
    opts.network.onCall('job', async (_from, {command, refusalVersion}) => {
      try {
        const job = await service.run(command);
        return {
          kind: 'job',
          job:
            job.state === 'failed'
              ? {
                  ...job,
                  refusal: refusalForVersion(job.refusal, refusalVersion),
                }
              : job,
        };
      } catch (err) {
        return {
          kind: 'refused',
          refusal: refusalForVersion(refusalFromError(err), refusalVersion),
        };
      }
    });
    return service;
  }

  /**
   * Executes a job command.
   *
   * @param command - The command.
   * @returns State of the job after the command.
   * @throws DispatchError when the job is unknown, or its home data centre or
   *   owner is unreachable.
   */
  async run(command: JobCommand): Promise<JobView> {
    const id = command.kind === 'submit' ? command.spec.id : command.id;
    const {home} = parseRequestKey(id, 'id');
    if (home !== this.opts.dataCentre) {
      return this.forward(this.requireInstanceIn(home), command);
    }
    switch (command.kind) {
      case 'submit':
        return this.submit(command);
      case 'show':
        return this.show(command);
      case 'cancel':
        return this.cancel(command);
      default:
        return command satisfies never;
    }
  }

  private async submit(
    command: Extract<JobCommand, {kind: 'submit'}>,
  ): Promise<JobView> {
    const {claims, runner} = this.opts;
    const {spec} = command;
    const contentFingerprint = fingerprint(Buffer.from(JSON.stringify(spec)));
    const outcome = await claims.runOnce(
      spec.id,
      contentFingerprint,
      Math.max(1, command.waitMs),
      NEVER_ABORTED,
      () => runner.run(spec),
    );
    if (outcome.kind === 'refused' && outcome.refusal.code === 'stillRunning') {
      return (
        this.runningView(spec.id, spec.tasks.length) ??
        jobViewOf(spec.id, outcome)
      );
    }
    return jobViewOf(spec.id, outcome);
  }

  private async show(
    command: Extract<JobCommand, {kind: 'show'}>,
  ): Promise<JobView> {
    const {claims, network} = this.opts;
    const record = claims.find(command.id);
    if (!record) {
      throw unknownJobError();
    }
    if (record.outcome) {
      return jobViewOf(command.id, record.outcome);
    }
    const isOwn = record.owner === network.self;
    if (record.isAnswerGone && (isOwn || !claims.isOwnerAlive(record))) {
      return jobViewOf(command.id, answerGoneOutcome());
    }
    if (!claims.isOwnerAlive(record)) {
      return jobViewOf(command.id, ownerLostOutcome());
    }
    if (!isOwn) {
      return this.forward(record.owner, command);
    }
    const outcome = await claims.waitForOutcome(command.id, command.waitMs);
    return outcome
      ? jobViewOf(command.id, outcome)
      : this.runningView(command.id, 0)!;
  }

  private async cancel(
    command: Extract<JobCommand, {kind: 'cancel'}>,
  ): Promise<JobView> {
    const {claims, network, runner} = this.opts;
    const record = claims.find(command.id);
    if (record && !record.outcome && record.owner !== network.self) {
      if (claims.isOwnerAlive(record)) {
        return this.forward(record.owner, command);
      }
      return jobViewOf(
        command.id,
        record.isAnswerGone ? answerGoneOutcome() : ownerLostOutcome(),
      );
    }
    runner.cancel(command.id);
    const outcome =
      (await claims.waitForOutcome(command.id, REPLY_GRACE_MS)) ??
      record?.outcome ??
      (record?.isAnswerGone ? answerGoneOutcome() : undefined);
    if (!outcome) {
      throw unknownJobError();
    }
    return jobViewOf(command.id, outcome);
  }

  private runningView(id: JobId, tasks: number): JobView | undefined {
    const progress = this.opts.runner.progress(id) ?? {tasks, finished: 0};
    return {state: 'running', id, ...progress};
  }

  private requireInstanceIn(home: DataCentreId): InstanceId {
    const instance = this.opts.pickReadyInstance(home);
    if (!instance) {
      throw DispatchError.mayHaveRun(
        'homeUnreachable',
        `no live instance of ${home}, the home data centre of the id`,
      );
    }
    return instance;
  }

  private async forward(to: InstanceId, command: JobCommand): Promise<JobView> {
    const waitMs = command.kind === 'cancel' ? 0 : command.waitMs;
    const timeoutMs = waitMs + 2 * REPLY_GRACE_MS + REPLY_GRACE_MS;
    let res;
    try {
      res = await this.opts.network.call(
        to,
        'job',
        {command, refusalVersion: REFUSAL_VERSION},
        {timeoutMs},
      );
    } catch (err) {
      const mayHaveBeenSent =
        !(err instanceof PeerCallError) || err.mayHaveBeenSent;
      throw mayHaveBeenSent
        ? DispatchError.mayHaveRun(
            'ownerLost',
            `connection to ${to} was lost before it responded`,
          )
        : DispatchError.mayHaveRun(
            'homeUnreachable',
            `instance ${to} is unreachable`,
          );
    }
    if (res.kind === 'refused') {
      throw DispatchError.fromRefusal(res.refusal);
    }
    return res.job;
  }
}

function jobViewOf(id: JobId, outcome: Outcome): JobView {
  if (outcome.kind === 'refused') {
    return {state: 'failed', id, refusal: outcome.refusal};
  }
  return JSON.parse(
    Buffer.from(outcome.answer.body).toString('utf8'),
  ) as JobView;
}

/**
 * Error `mayHaveRun`, since the record of the job may have been evicted, or
 * another member may hold it.
 */
function unknownJobError(): DispatchError {
  return DispatchError.mayHaveRun(
    'notFound',
    'this instance has no record of a job with this id',
  );
}

function answerGoneOutcome(): Outcome {
  const {refusal} = DispatchError.ran(
    'answerGone',
    'the job has run, but its answers are no longer stored',
  );
  return {kind: 'refused', refusal};
}

function ownerLostOutcome(): Outcome {
  const refusal: Refusal = DispatchError.mayHaveRun(
    'ownerLost',
    'the instance that ran the job was lost',
  ).refusal;
  return {kind: 'refused', refusal};
}
