import type {Bound} from './bound.js';
import {RandomFifoBaseline} from './random_fifo_baseline.js';
import {Fleet} from './fleet.js';
import type {LoadResult} from './load_result.js';
import type {LoadSpec} from './load_spec.js';
import {printBounds} from './print_bounds.js';
import type {SendRequest} from './run_load.js';
import {runLoad} from './run_load.js';

const DATA_CENTRES = ['centro', 'serra', 'ribeira'];
const TARGETS_PER_DATA_CENTRE = 5;
const SLOTS_PER_TARGET = 4;
const MIN_RUN_MS = 100;
const MAX_RUN_MS = 500;
const UNFLOODED_SECONDS = 15;
const ONSET_SECONDS = 2;
const FLOOD_SECONDS = 15;
const FLOOD_FACTOR = 10;
/** Share of the capacity that each of the other kinds of work requests. */
const OTHER_KIND_SHARE = 0.2;
const FLOOD_DEADLINE_MS = 2_000;

/** Urgency of the flooding requests and number of their callers. */
export interface FloodSpec {
  readonly urgency: number;
  readonly callers: number;
}

/**
 * Measures the throughput and the response time of two kinds of work while a
 * third one floods the instances with ten times the capacity of the targets.
 *
 * @param floods - Floods to generate, one after the other.
 * @returns Whether all bounds hold.
 * @throws Error when the instances can't be started.
 * @example
 * const held = await floodBench([{urgency: 0, callers: 1}]);
 */
export async function floodBench(
  floods: readonly FloodSpec[],
): Promise<boolean> {
  const fleet = await Fleet.create({
    dataCentres: DATA_CENTRES,
    instancesPerDataCentre: 2,
    targetsPerDataCentre: TARGETS_PER_DATA_CENTRE,
    slotsPerTarget: SLOTS_PER_TARGET,
    logDecisions: true,
  });
  let allHeld = true;
  try {
    await fleet.applyReleaseNote({
      noteId: 'kinds',
      base: 0,
      added: {
        'kind:hospital': {weight: 1},
        'kind:pump': {weight: 1},
        'kind:storm': {weight: 1},
      },
    });
    const ports = fleet.cluster.callersPorts();
    const send: SendRequest = (spec, runMs, n) =>
      fleet.send(ports[n % ports.length]!, spec, runMs, n);
    const unflooded = await runOtherKinds(UNFLOODED_SECONDS, 21, send);
    for (const flood of floods) {
      const baseline = RandomFifoBaseline.create(fleet, SLOTS_PER_TARGET);
      const baselineResult = await runUnderFlood(flood, (spec, runMs, n) =>
        baseline.send(spec, runMs, n),
      );
      printBaselineComparison(flood, unflooded, baselineResult);
      const result = await runUnderFlood(flood, send);
      allHeld = printResult(flood, unflooded, result) && allHeld;
      const residentBytes = await fleet.sumMetric(
        'process_resident_memory_bytes',
      );
      process.stdout.write(
        `  resident memory of all instances: ${Math.round(residentBytes / 2 ** 20)} MiB\n`,
      );
    }
    return allHeld;
  } finally {
    await fleet.close();
  }
}

interface FloodResult {
  readonly others: readonly LoadResult[];
  readonly flood: LoadResult;
  /** Share of the slot time since the flood began that answered requests used. */
  readonly busyShare: number;
}

function slotCount(): number {
  return DATA_CENTRES.length * TARGETS_PER_DATA_CENTRE * SLOTS_PER_TARGET;
}

function capacityRequestsPerSecond(): number {
  return slotCount() / ((MIN_RUN_MS + MAX_RUN_MS) / 2 / 1_000);
}

function otherKindSpec(kind: string, seconds: number): LoadSpec {
  return {
    kind,
    callers: 4,
    urgency: 1,
    arrivalsPerSecond: OTHER_KIND_SHARE * capacityRequestsPerSecond(),
    minRunMs: MIN_RUN_MS,
    maxRunMs: MAX_RUN_MS,
    deadlineMs: 10_000,
    durationSeconds: seconds,
  };
}

function runOtherKinds(
  seconds: number,
  seed: number,
  send: SendRequest,
): Promise<LoadResult[]> {
  return Promise.all([
    runLoad(otherKindSpec('hospital', seconds), seed, send),
    runLoad(otherKindSpec('pump', seconds), seed + 1, send),
  ]);
}

/**
 * Runs a flood, and the other kinds of work from two seconds after its onset.
 */
async function runUnderFlood(
  flood: FloodSpec,
  send: SendRequest,
): Promise<FloodResult> {
  const spec: LoadSpec = {
    ...otherKindSpec('storm', ONSET_SECONDS + FLOOD_SECONDS),
    callers: flood.callers,
    urgency: flood.urgency,
    arrivalsPerSecond: FLOOD_FACTOR * capacityRequestsPerSecond(),
    deadlineMs: FLOOD_DEADLINE_MS,
  };
  const floodLoad = runLoad(spec, 31, send);
  await new Promise(resolve => setTimeout(resolve, ONSET_SECONDS * 1_000));
  const otherLoads = runOtherKinds(FLOOD_SECONDS, 21, send);
  const [floodLoadResult, otherResults] = await Promise.all([
    floodLoad,
    otherLoads,
  ]);
  const answeredRunMs =
    floodLoadResult.answeredRunMs +
    otherResults.reduce((sum, r) => sum + r.answeredRunMs, 0);
  const availableSlotMs = (ONSET_SECONDS + FLOOD_SECONDS) * 1_000 * slotCount();
  return {
    others: otherResults,
    flood: floodLoadResult,
    busyShare: answeredRunMs / availableSlotMs,
  };
}

function printBaselineComparison(
  flood: FloodSpec,
  unflooded: readonly LoadResult[],
  baselineResult: FloodResult,
): void {
  const answeredRatio =
    sum(baselineResult.others, r => r.answered) /
    sum(unflooded, r => r.answered);
  const responseRatio =
    Math.max(
      ...baselineResult.others.map(r => r.responseMs.valueAtPercentile(99)),
    ) / Math.max(...unflooded.map(r => r.responseMs.valueAtPercentile(99)));
  process.stdout.write(
    `\n  baseline (random target, FIFO), urgency ${flood.urgency}: answered requests of other kinds relative to no flood ${answeredRatio.toFixed(3)}, 99th percentile of their response time relative to no flood ${responseRatio.toFixed(2)}, share of busy slots ${baselineResult.busyShare.toFixed(3)}\n`,
  );
}

function printResult(
  flood: FloodSpec,
  unflooded: readonly LoadResult[],
  result: FloodResult,
): boolean {
  const answeredShare =
    sum(result.others, r => r.answered) / sum(result.others, r => r.sent);
  const unfloodedAnsweredShare =
    sum(unflooded, r => r.answered) / sum(unflooded, r => r.sent);
  const responseRatios = result.others.map(
    (r, i) =>
      r.responseMs.valueAtPercentile(99) /
      unflooded[i]!.responseMs.valueAtPercentile(99),
  );
  const bounds: Bound[] = [
    {
      name: 'throughput of the other kinds relative to no flood',
      value: answeredShare / unfloodedAnsweredShare,
      limit: 0.95,
      comparison: 'atLeast',
    },
    {
      name: '99th percentile of their response time relative to no flood',
      value: Math.max(...responseRatios),
      limit: 1.5,
      comparison: 'atMost',
    },
    {
      name: 'share of busy slots',
      value: result.busyShare,
      limit: 0.95,
      comparison: 'atLeast',
    },
    {
      name: '99th percentile of the time to refusal, ms',
      value: result.flood.refusalMs.valueAtPercentile(99),
      limit: 50,
      comparison: 'atMost',
    },
    {
      name: 'flood requests that failed',
      value: result.flood.failed,
      limit: 0,
      comparison: 'atMost',
    },
  ];
  const {sent, answered, refusedNotRun, late} = result.flood;
  process.stdout.write(
    `  flood: sent ${sent}, answered ${answered}, not run ${refusedNotRun}, stopped by the deadline while running ${late}, median time to refusal ${result.flood.refusalMs.valueAtPercentile(50)} ms\n`,
  );
  return printBounds(
    `flood of urgency ${flood.urgency} by ${flood.callers} callers, ${FLOOD_FACTOR} times the capacity`,
    bounds,
  );
}

function sum(
  results: readonly LoadResult[],
  selectValue: (result: LoadResult) => number,
): number {
  return results.reduce((total, result) => total + selectValue(result), 0);
}
