import type {RandomSource} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import {ValueRecorder} from './value_recorder.js';
import type {LoadResult} from './load_result.js';
import type {LoadSpec} from './load_spec.js';
import type {SendOutcome} from './send_outcome.js';

const MS_PER_SECOND = 1_000;

/**
 * Sends one request of a load.
 *
 * @returns Outcome of the request.
 */
export type SendRequest = (
  spec: LoadSpec,
  runMs: number,
  n: number,
) => Promise<SendOutcome>;

/**
 * Runs an open-loop load with seeded Poisson arrivals.
 *
 * @param spec - Load to generate.
 * @param seed - Seed of the arrivals and run times.
 * @param send - Sends one request.
 * @returns Outcome counts and latencies, once all requests have ended.
 * @throws Never.
 * @example
 * const result = await runLoad(spec, 7, send);
 */
export async function runLoad(
  spec: LoadSpec,
  seed: number,
  send: SendRequest,
): Promise<LoadResult> {
  const random = SeededRandom.create(seed);
  const result: LoadResult = {
    sent: 0,
    answered: 0,
    refusedNotRun: 0,
    late: 0,
    failed: 0,
    responseRatio: ValueRecorder.create(),
    responseMs: ValueRecorder.create(),
    refusalMs: ValueRecorder.create(),
    answeredRunMs: 0,
  };
  const pending = new Set<Promise<void>>();
  const startMs = performance.now();
  let nextMs = 0;
  while (nextMs < spec.durationSeconds * MS_PER_SECOND) {
    const waitMs = startMs + nextMs - performance.now();
    if (waitMs > 0) {
      await new Promise(resolve => setTimeout(resolve, waitMs));
    }
    const request = sendAndRecord(
      spec,
      randomRunMs(spec, random),
      result,
      send,
    );
    pending.add(request);
    void request.finally(() => pending.delete(request));
    nextMs +=
      (-Math.log(1 - random.next()) * MS_PER_SECOND) / spec.arrivalsPerSecond;
  }
  await Promise.all(pending);
  return result;
}

async function sendAndRecord(
  spec: LoadSpec,
  runMs: number,
  result: LoadResult,
  send: SendRequest,
): Promise<void> {
  const n = result.sent++;
  const startMs = performance.now();
  const outcome = await send(spec, runMs, n);
  const elapsedMs = performance.now() - startMs;
  switch (outcome) {
    case 'answered':
      result.answered++;
      result.answeredRunMs += runMs;
      result.responseRatio.record(elapsedMs / runMs);
      result.responseMs.record(elapsedMs);
      return;
    case 'notRun':
      result.refusedNotRun++;
      result.refusalMs.record(elapsedMs);
      return;
    case 'late':
      result.late++;
      return;
    case 'failed':
      result.failed++;
      return;
    default:
      outcome satisfies never;
  }
}

function randomRunMs(spec: LoadSpec, random: RandomSource): number {
  return Math.round(
    spec.minRunMs + random.next() * (spec.maxRunMs - spec.minRunMs),
  );
}
