import type {DataCentreId, Outcome, Work} from '@papayarun/protocol';
import {DispatchError, fingerprint, parseRequestKey} from '@papayarun/protocol';
import type {IdempotentRequestsOptions} from './idempotent_requests_options.js';

/**
 * Runs requests with an idempotency key in the home data centre of the key.
 *
 * @description When the home is unreachable, the request is refused with
 * `mayHaveRun`, since an earlier copy of it may have been started there.
 */
export class IdempotentRequests {
  private constructor(private readonly opts: IdempotentRequestsOptions) {}

  /**
   * Creates a runner of idempotent requests.
   *
   * @param opts - Claims, router and lookup of instances in other data centres.
   * @returns The runner.
   * @example
   * const idempotentRequests = IdempotentRequests.create(opts);
   */
  static create(opts: IdempotentRequestsOptions): IdempotentRequests {
    return new IdempotentRequests(opts);
  }

  /**
   * Runs the work unless it was started before, and returns its outcome.
   *
   * @param work - The work; its request id is the key.
   * @param signal - Aborts when the caller stops waiting.
   * @returns The outcome; errors are returned as refusals.
   */
  async run(work: Work, signal: AbortSignal): Promise<Outcome> {
    const {home} = parseRequestKey(work.requestId, 'papayarun-id');
    if (home !== this.opts.dataCentre) {
      return this.runAtHome(home, work, signal);
    }
    const {claims, router, stopSignal} = this.opts;
    return claims.runOnce(
      work.requestId,
      contentFingerprint(work),
      work.deadlineMs,
      signal,
      () => router.route(work, stopSignal, {spill: false}),
    );
  }

  private async runAtHome(
    home: DataCentreId,
    work: Work,
    signal: AbortSignal,
  ): Promise<Outcome> {
    if (!this.opts.isKnownDataCentre(home)) {
      const {refusal} = DispatchError.notRun(
        'unknownHome',
        `papayarun-id names ${home}, which is not a data centre in the settings`,
        {
          field: 'papayarun-id',
        },
      );
      return {kind: 'refused', refusal};
    }
    const instance = this.opts.pickReadyInstance(home);
    const outcome =
      instance &&
      (await this.opts.router.forward(instance, 'entry', work, signal));
    const isUnreachable =
      !outcome ||
      (outcome.kind === 'refused' && outcome.refusal.code === 'keeperLost');
    if (!isUnreachable) {
      return outcome;
    }
    const message = `${home}, the home data centre of the id, is unreachable`;
    return {
      kind: 'refused',
      refusal: DispatchError.mayHaveRun('homeUnreachable', message).refusal,
    };
  }
}

function contentFingerprint(work: Work): string {
  const head = Buffer.from(`${work.service} ${work.path}\n`);
  return fingerprint(Buffer.concat([head, work.body]));
}
