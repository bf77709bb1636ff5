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
  readonly app: Pick<HttpApp, 'closeIdleConnections'>;
  /** Number of requests in progress, of the server and of others to wait for. */
  readonly inProgress: () => number;
  /** Monotonic time until which to wait at most, in milliseconds. */
  readonly untilMs: number;
}

/**
 * Closes the connections of a server that shuts down, each once it has no request in
 * progress.
 *
 * @description What has arrived is read before each decision, since a process that
 * had no processor time finds its timers due before it finds requests. Connections
 * without a request close at once: one that came later would have less time.
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
  await app.closeIdleConnections();
  while (inProgress() > 0 && clock.now() < untilMs) {
    await clock.sleep(POLL_MS);
    await app.closeIdleConnections();
  }
}
