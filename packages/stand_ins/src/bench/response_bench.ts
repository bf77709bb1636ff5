import type {Bound} from './bound.js';
import {RandomFifoBaseline} from './random_fifo_baseline.js';
import {Fleet} from './fleet.js';
import type {LoadSpec} from './load_spec.js';
import {printBounds} from './print_bounds.js';
import {runLoad} from './run_load.js';

const DATA_CENTRES = ['centro', 'serra', 'ribeira'];
const TARGETS_PER_DATA_CENTRE = 10;
const SLOTS_PER_TARGET = 8;
const MIN_RUN_MS = 50;
const MAX_RUN_MS = 1_000;
const DURATION_SECONDS = 20;

/**
 * Measures the response time relative to the run time at a given load, and the
 * sends to targets beyond one per request.
 *
 * @param load - Share of the slots in use, 0.7 for 70 %.
 * @param skew - Share of the requests sent to one instance, 0 for an even
 * spread over all instances.
 * @returns Whether all bounds hold.
 * @throws Error when the instances can't be started.
 * @example
 * const held = await responseBench(0.7, 0);
 */
export async function responseBench(
  load: number,
  skew: number,
): Promise<boolean> {
  const fleet = await Fleet.create({
    dataCentres: DATA_CENTRES,
    instancesPerDataCentre: 2,
    targetsPerDataCentre: TARGETS_PER_DATA_CENTRE,
    slotsPerTarget: SLOTS_PER_TARGET,
    logDecisions: true,
  });
  try {
    const slots =
      DATA_CENTRES.length * TARGETS_PER_DATA_CENTRE * SLOTS_PER_TARGET;
    const meanSeconds = (MIN_RUN_MS + MAX_RUN_MS) / 2 / 1_000;
    const spec: LoadSpec = {
      kind: 'default',
      callers: 20,
      urgency: 1,
      arrivalsPerSecond: (load * slots) / meanSeconds,
      minRunMs: MIN_RUN_MS,
      maxRunMs: MAX_RUN_MS,
      deadlineMs: 30_000,
      durationSeconds: DURATION_SECONDS,
    };
    const ports = fleet.cluster.callersPorts();
    const portOf = (n: number): number =>
      n % 100 < skew * 100 ? ports[0]! : ports[n % ports.length]!;
    const baseline = RandomFifoBaseline.create(fleet, SLOTS_PER_TARGET);
    const baselineResult = await runLoad(spec, 11, (s, runMs, n) =>
      baseline.send(s, runMs, n),
    );
    const startsBefore = fleet.totalStarts;
    const busyRefusalsBefore = fleet.totalBusyRefusals;
    const result = await runLoad(spec, 11, (s, runMs, n) =>
      fleet.send(portOf(n), s, runMs, n),
    );
    const wastedSends =
      fleet.totalStarts -
      startsBefore +
      fleet.totalBusyRefusals -
      busyRefusalsBefore -
      result.sent;
    const forwards = await fleet.sumMetric('papayarun_forwards');
    process.stdout.write(
      `  baseline: random target, FIFO: median ${baselineResult.responseRatio.valueAtPercentile(50)}, 99th percentile ${baselineResult.responseRatio.valueAtPercentile(99)}, mean ${baselineResult.responseRatio.mean.toFixed(3)}\n` +
        `  papayarun: median ${result.responseRatio.valueAtPercentile(50)}, 99th percentile ${result.responseRatio.valueAtPercentile(99)}, mean ${result.responseRatio.mean.toFixed(3)}; ` +
        `sent ${result.sent}, answered ${result.answered}, not run ${result.refusedNotRun}, failed ${result.failed}, ` +
        `forwards per request ${(forwards / result.sent).toFixed(3)}\n`,
    );
    const isSpecifiedCase = load === 0.7 && skew === 0;
    const bounds: Bound[] = [
      {
        name: 'answered',
        value: result.answered / result.sent,
        limit: 1,
        comparison: 'atLeast',
      },
      {
        name: 'median of response time divided by run time',
        value: result.responseRatio.valueAtPercentile(50),
        limit: 1.05,
        comparison: 'atMost',
      },
      ...(isSpecifiedCase
        ? [
            {
              name: '99th percentile of response time divided by run time',
              value: result.responseRatio.valueAtPercentile(99),
              limit: 1.25,
              comparison: 'atMost' as const,
            },
          ]
        : []),
      {
        name: 'wasted sends per request',
        value: wastedSends / result.sent,
        limit: isSpecifiedCase ? 0 : 0.01,
        comparison: 'atMost',
      },
    ];
    return printBounds(
      `response time at ${load * 100} % of ${slots} slots, ${skew * 100} % of requests sent to one instance`,
      bounds,
    );
  } finally {
    await fleet.close();
  }
}
