import type {Clock} from '@papayarun/protocol';
import type {HttpApp} from './http_app.js';

/** Interval between two checks for new requests, in milliseconds. */
const POLL_MS = 20;

/**
 * Options of `waitUntilUnused`.
 */
export interface WaitUntilUnusedOptions {
  readonly clock: Clock;
  readonly app: Pick<HttpApp, 'readArrived' | 'receivedFromClients'>;
  /** Time without a request of a client after which the wait ends, in ms. */
  readonly unusedMs: number;
  /** Longest wait, in milliseconds. */
  readonly limitMs: number;
}

/**
 * Waits until clients have ceased to send requests to a server that has reported
 * itself as not ready.
 *
 * @description A load balancer that is late to notice sends requests for longer
 * than it should need to. They are served, so that they don't meet a closed port.
 * @param opts - Server, time without requests and limit.
 * @returns Resolves when no request came for `unusedMs`, or at the limit.
 * @throws Never.
 * @example
 * await waitUntilUnused({clock, app, unusedMs: 2_000, limitMs: 30_000});
 */
export async function waitUntilUnused(
  opts: WaitUntilUnusedOptions,
): Promise<void> {
  const {clock, app, unusedMs, limitMs} = opts;
  const startedMs = clock.now();
  let received = app.receivedFromClients;
  let lastUseMs = startedMs;
  for (;;) {
    const nowMs = clock.now();
    const leftMs = Math.min(
      lastUseMs + unusedMs - nowMs,
      startedMs + limitMs - nowMs,
    );
    if (leftMs <= 0) {
      return;
    }
    await clock.sleep(Math.min(POLL_MS, leftMs));
    await app.readArrived();
    if (app.receivedFromClients !== received) {
      received = app.receivedFromClients;
      lastUseMs = clock.now();
    }
  }
}
