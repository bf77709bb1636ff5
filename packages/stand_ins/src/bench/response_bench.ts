import type {Bound} from './bound.js';
import {RandomFifoBaseline} from './baseline.js';
import {Fleet} from './fleet.js';
import type {LoadSpec} from './load_spec.js';
import {printBounds} from './print_bounds.js';
import {runLoad} from './run_load.js';

const DATA_CENTRES = ['centro', 'serra', 'ribeira'];
const TARGETS_EACH = 10;
const SLOTS = 8;
const MIN_RUN_MS = 50;
const MAX_RUN_MS = 1_000;
const SECONDS = 20;

/**
 * Response time against the ideal at a part of all slots, and wasted sends.
 *
 * @param load - Part of the slots in use, 0.7 for 70 %.
 * @param skew - Part of the requests that go to one instance, 0 for none.
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
    instancesEach: 2,
    targetsEach: TARGETS_EACH,
    slots: SLOTS,
    decisions: true,
  });
  try {
    const slots = DATA_CENTRES.length * TARGETS_EACH * SLOTS;
    const meanSeconds = (MIN_RUN_MS + MAX_RUN_MS) / 2 / 1_000;
    const spec: LoadSpec = {
      kind: 'default',
      callers: 20,
      urgency: 1,
      perSecond: (load * slots) / meanSeconds,
      minRunMs: MIN_RUN_MS,
      maxRunMs: MAX_RUN_MS,
      deadlineMs: 30_000,
      seconds: SECONDS,
    };
    const ports = fleet.cluster.callersPorts();
    const portOf = (n: number): number =>
      n % 100 < skew * 100 ? ports[0]! : ports[n % ports.length]!;
    const baseline = RandomFifoBaseline.create(fleet, SLOTS);
    const base = await runLoad(spec, 11, (s, runMs, n) =>
      baseline.send(s, runMs, n),
    );
    const startsBefore = fleet.totalStarts;
    const busyBefore = fleet.totalRefusedBusy;
    const result = await runLoad(spec, 11, (s, runMs, n) =>
      fleet.send(portOf(n), s, runMs, n),
    );
    const extra =
      fleet.totalStarts -
      startsBefore +
      fleet.totalRefusedBusy -
      busyBefore -
      result.sent;
    const forwards = await fleet.metric('papayarun_forwards');
    process.stdout.write(
      `  baseline: random target, FIFO: median ${base.ratio.at(50)}, 99th ${base.ratio.at(99)}, mean ${base.ratio.mean.toFixed(3)}\n` +
        `  papayarun: median ${result.ratio.at(50)}, 99th ${result.ratio.at(99)}, mean ${result.ratio.mean.toFixed(3)}; ` +
        `sent ${result.sent}, answered ${result.answered}, not run ${result.refusedNotRun}, failed ${result.failed}, ` +
        `forwards a request ${(forwards / result.sent).toFixed(3)}\n`,
    );
    const isStated = load === 0.7 && skew === 0;
    const bounds: Bound[] = [
      {
        name: 'answered',
        value: result.answered / result.sent,
        limit: 1,
        is: 'atLeast',
      },
      {
        name: 'median of response over run time',
        value: result.ratio.at(50),
        limit: 1.05,
        is: 'atMost',
      },
      ...(isStated
        ? [
            {
              name: '99th percentile of it',
              value: result.ratio.at(99),
              limit: 1.25,
              is: 'atMost' as const,
            },
          ]
        : []),
      {
        name: 'wasted sends over sends',
        value: extra / result.sent,
        limit: isStated ? 0 : 0.01,
        is: 'atMost',
      },
    ];
    return printBounds(
      `response time at ${load * 100} % of ${slots} slots, ${skew * 100} % of callers on one instance`,
      bounds,
    );
  } finally {
    await fleet.close();
  }
}
