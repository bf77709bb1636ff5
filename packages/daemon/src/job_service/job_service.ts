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
  fingerprint,
  parseRequestKey,
  refusalOf,
} from '@papayarun/protocol';

const REPLY_GRACE_MS = 2_000;
const NEVER_ABORTED = new AbortController().signal;

/**
 * What job commands need.
 */
export interface JobServiceOptions {
  readonly dataCentre: DataCentreId;
  readonly network: PeerNetwork;
  readonly claims: Claims;
  readonly runner: JobRunner;
  /** A live instance of another data centre. */
  readonly instanceIn: (dataCentre: DataCentreId) => InstanceId | undefined;
}

/**
 * Carries job commands to the instance that owns the job.
 */
export class JobService {
  private constructor(private readonly opts: JobServiceOptions) {}

  /**
   * Makes the service and takes over the job messages.
   *
   * @param opts - Network, claims and runner.
   * @returns The service.
   * @example
   * const jobs = JobService.create(opts);
   */
  static create(opts: JobServiceOptions): JobService {
    const service = new JobService(opts);
    opts.network.onCall('job', async (_from, {command}) => {
      try {
        return {kind: 'job', job: await service.run(command)};
      } catch (err) {
        return {kind: 'refused', refusal: refusalOf(err)};
      }
    });
    return service;
  }

  /**
   * Carries out a job command.
   *
   * @param command - The command.
   * @returns The job as it is then.
   * @throws DispatchError when the job is unknown or its home can't be reached.
   */
  async run(command: JobCommand): Promise<JobView> {
    const id = command.kind === 'submit' ? command.spec.id : command.id;
    const {home} = parseRequestKey(id, 'id');
    if (home !== this.opts.dataCentre) {
      return this.forward(this.atHome(home), command);
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
    const content = fingerprint(Buffer.from(JSON.stringify(spec)));
    const outcome = await claims.runOnce(
      spec.id,
      content,
      Math.max(1, command.waitMs),
      NEVER_ABORTED,
      () => runner.run(spec),
    );
    if (outcome.kind === 'refused' && outcome.refusal.code === 'stillRunning') {
      return (
        this.running(spec.id, spec.tasks.length) ?? viewOf(spec.id, outcome)
      );
    }
    return viewOf(spec.id, outcome);
  }

  private async show(
    command: Extract<JobCommand, {kind: 'show'}>,
  ): Promise<JobView> {
    const {claims, network} = this.opts;
    const record = claims.find(command.id);
    if (!record) {
      throw unknownJob();
    }
    if (record.outcome) {
      return viewOf(command.id, record.outcome);
    }
    if (!claims.isOwnerAlive(record)) {
      return viewOf(command.id, lostOutcome());
    }
    if (record.owner !== network.self) {
      return this.forward(record.owner, command);
    }
    const outcome = await claims.await(command.id, command.waitMs);
    return outcome ? viewOf(command.id, outcome) : this.running(command.id, 0)!;
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
      return viewOf(command.id, lostOutcome());
    }
    runner.cancel(command.id);
    const outcome =
      (await claims.await(command.id, REPLY_GRACE_MS)) ?? record?.outcome;
    if (!outcome) {
      throw unknownJob();
    }
    return viewOf(command.id, outcome);
  }

  private running(id: JobId, tasks: number): JobView | undefined {
    const progress = this.opts.runner.progress(id) ?? {tasks, finished: 0};
    return {state: 'running', id, ...progress};
  }

  private atHome(home: DataCentreId): InstanceId {
    const instance = this.opts.instanceIn(home);
    if (!instance) {
      throw DispatchError.mayHaveRun(
        'homeUnreachable',
        `${home}, the id's home, can't be reached`,
      );
    }
    return instance;
  }

  private async forward(to: InstanceId, command: JobCommand): Promise<JobView> {
    const waitMs = command.kind === 'cancel' ? 0 : command.waitMs;
    const timeoutMs = waitMs + 2 * REPLY_GRACE_MS + REPLY_GRACE_MS;
    let res;
    try {
      res = await this.opts.network.call(to, 'job', {command}, {timeoutMs});
    } catch (err) {
      const maybeSent = !(err instanceof PeerCallError) || err.maybeSent;
      throw maybeSent
        ? DispatchError.mayHaveRun(
            'ownerLost',
            `${to} was lost before it answered`,
          )
        : DispatchError.mayHaveRun('homeUnreachable', `${to} can't be reached`);
    }
    if (res.kind === 'refused') {
      throw DispatchError.create(res.refusal);
    }
    return res.job;
  }
}

function viewOf(id: JobId, outcome: Outcome): JobView {
  if (outcome.kind === 'refused') {
    return {state: 'failed', id, refusal: outcome.refusal};
  }
  return JSON.parse(
    Buffer.from(outcome.answer.body).toString('utf8'),
  ) as JobView;
}

/** It may have run and been forgotten, or be known to another member. */
function unknownJob(): DispatchError {
  return DispatchError.mayHaveRun(
    'notFound',
    'no job with this id is remembered',
  );
}

function lostOutcome(): Outcome {
  const refusal: Refusal = DispatchError.mayHaveRun(
    'ownerLost',
    'the instance that ran it was lost',
  ).refusal;
  return {kind: 'refused', refusal};
}
