import type {Clock} from '@papayarun/protocol';
import type {HttpApp} from './http_app.js';

/** Interval between two checks for requests in progress, in milliseconds. */
const POLL_MS = 20;

/**
 * Options of `finishRequests`.
 */
export interface FinishRequestsOptions {
  readonly clock: Clock;
  /** Server that no longer listens. */
  readonly app: Pick<HttpApp, 'readArrived' | 'closeIdleConnections'>;
  /** Number of requests in progress, of the server and of others to wait for. */
  readonly inProgress: () => number;
  /** Monotonic time until which to wait at most, in milliseconds. */
  readonly untilMs: number;
}

/**
 * Waits until a server that shuts down has no request in progress, then closes its
 * idle connections.
 *
 * @description What has arrived is read before each decision, since a process that
 * had no processor time finds its timers due before it finds requests.
 * @param opts - Server, number of requests in progress and limit.
 * @returns Resolves when nothing is in progress, or at the limit.
 * @throws Never.
 * @example
 * await finishRequests({clock, app, inProgress: () => app.inProgress, untilMs});
 */
export async function finishRequests(
  opts: FinishRequestsOptions,
): Promise<void> {
  const {clock, app, inProgress, untilMs} = opts;
  do {
    await app.readArrived();
    while (inProgress() > 0 && clock.now() < untilMs) {
      await clock.sleep(POLL_MS);
      await app.readArrived();
    }
    await app.closeIdleConnections();
  } while (inProgress() > 0 && clock.now() < untilMs);
}
