import type {DataCentreId, Outcome, Work} from '@papayarun/protocol';
import {DispatchError, fingerprint, parseRequestKey} from '@papayarun/protocol';
import type {KeyedRequestsOptions} from './keyed_requests_options.js';

/**
 * Runs requests that carry an idempotency key at the key's home.
 *
 * @description An instance that can't ask the home knows nothing of the key:
 * it refuses with `mayHaveRun`, since an earlier copy may have been started.
 */
export class KeyedRequests {
  private constructor(private readonly opts: KeyedRequestsOptions) {}

  /**
   * Makes them.
   *
   * @param opts - Claims, router and the way to other data centres.
   * @returns The keyed requests.
   * @example
   * const keyed = KeyedRequests.create(opts);
   */
  static create(opts: KeyedRequestsOptions): KeyedRequests {
    return new KeyedRequests(opts);
  }

  /**
   * Runs the work unless it was started before, and gives its outcome.
   *
   * @param work - The work; its request id is the key.
   * @param signal - Aborts when the caller waits no more.
   * @returns The outcome; errors are refusals in it.
   */
  async run(work: Work, signal: AbortSignal): Promise<Outcome> {
    const {home} = parseRequestKey(work.requestId, 'papayarun-id');
    if (home !== this.opts.dataCentre) {
      return this.runAt(home, work, signal);
    }
    const {claims, router, ending} = this.opts;
    return claims.runOnce(
      work.requestId,
      contentOf(work),
      work.deadlineMs,
      signal,
      () => router.route(work, ending, {spill: false}),
    );
  }

  private async runAt(
    home: DataCentreId,
    work: Work,
    signal: AbortSignal,
  ): Promise<Outcome> {
    if (!this.opts.isDataCentre(home)) {
      const {refusal} = DispatchError.notRun(
        'unknownHome',
        `${home} is no data centre here`,
        {
          field: 'papayarun-id',
        },
      );
      return {kind: 'refused', refusal};
    }
    const instance = this.opts.instanceIn(home);
    const outcome =
      instance &&
      (await this.opts.router.forward(instance, 'entry', work, signal));
    const isUnreachable =
      !outcome ||
      (outcome.kind === 'refused' && outcome.refusal.code === 'keeperLost');
    if (!isUnreachable) {
      return outcome;
    }
    const text = `${home}, the home of the id, can't be reached`;
    return {
      kind: 'refused',
      refusal: DispatchError.mayHaveRun('homeUnreachable', text).refusal,
    };
  }
}

function contentOf(work: Work): string {
  const head = Buffer.from(`${work.service} ${work.path}\n`);
  return fingerprint(Buffer.concat([head, work.body]));
}
