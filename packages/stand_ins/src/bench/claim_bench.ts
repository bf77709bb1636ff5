import {randomUUID} from 'node:crypto';
import {httpCall} from '../http_call/http_call.js';
import type {Bound} from './bound.js';
import {Fleet} from './fleet.js';
import type {LoadSpec} from './load_spec.js';
import {printBounds} from './print_bounds.js';
import {ValueRecorder} from './value_recorder.js';

const SAMPLES = 600;
const WARM_UP_REQUESTS = 200;

/** One way to handle a request, whose latency is measured. */
interface Variant {
  readonly name: string;
  readonly run: (n: number) => Promise<void>;
}

/**
 * Compares the latency that a claim on all members adds to a request with the
 * latency of a command that is synced to disk.
 *
 * @description A change of a customer's choice is a command of the release
 * log: it is synced on a majority of three replicas before it is answered, as
 * a synced claim would be. Requests are sent one at a time and run for 0 ms.
 * @returns Whether all bounds hold.
 * @throws Error when the instances can't be started.
 * @example
 * const held = await claimBench();
 */
export async function claimBench(): Promise<boolean> {
  const fleet = await Fleet.create({
    dataCentres: ['centro', 'serra', 'ribeira'],
    instancesPerDataCentre: 3,
    targetsPerDataCentre: 3,
    slotsPerTarget: 8,
    logDecisions: false,
  });
  try {
    await fleet.applyReleaseNote({
      noteId: 'claims',
      base: 0,
      added: {'behaviour:reminders': 'text'},
    });
    const ports = fleet.cluster.callersPorts('centro');
    const prefix = await fleet.cluster.fetchIdPrefix('centro-1');
    const spec: LoadSpec = {
      kind: 'default',
      callers: 1,
      urgency: 1,
      arrivalsPerSecond: 0,
      minRunMs: 0,
      maxRunMs: 0,
      deadlineMs: 5_000,
      durationSeconds: 0,
    };
    const portOf = (n: number): number => ports[n % ports.length]!;
    const send = async (n: number, id?: string): Promise<void> => {
      const outcome = await fleet.send(portOf(n), spec, 0, n, id);
      if (outcome !== 'answered') {
        throw new Error(`request ${n} was not answered: outcome ${outcome}`);
      }
    };
    const variants: Variant[] = [
      {name: 'repeatable, no claim', run: n => send(n)},
      {
        name: 'claim on all three members',
        run: n => send(n, `${prefix}${randomUUID()}`),
      },
      {
        name: 'synced command of the release log',
        run: n => setCustomerChoice(fleet, portOf(n), n),
      },
    ];
    const mediansMs: number[] = [];
    for (const variant of variants) {
      mediansMs.push(await measureMedianMs(fleet, variant));
    }
    const [unclaimedMs, claimedMs, syncedMs] = mediansMs as [
      number,
      number,
      number,
    ];
    const bounds: Bound[] = [
      {
        name: 'latency added by a claim, relative to a synced command',
        value: (claimedMs - unclaimedMs) / syncedMs,
        limit: 1,
        comparison: 'atMost',
      },
    ];
    return printBounds('latency of a claim', bounds);
  } finally {
    await fleet.close();
  }
}

async function measureMedianMs(
  fleet: Fleet,
  variant: Variant,
): Promise<number> {
  for (let n = 0; n < WARM_UP_REQUESTS; n++) {
    await variant.run(n);
  }
  const before = await fleet.sumMetric('papayarun_peer_messages_total');
  const startMs = performance.now();
  const durations = ValueRecorder.create();
  for (let n = 0; n < SAMPLES; n++) {
    const sentMs = performance.now();
    await variant.run(n);
    durations.record(performance.now() - sentMs);
  }
  const seconds = (performance.now() - startMs) / 1_000;
  const messages =
    (await fleet.sumMetric('papayarun_peer_messages_total')) - before;
  process.stdout.write(
    `  ${variant.name}: median ${durations.valueAtPercentile(50)} ms, 99th percentile ${durations.valueAtPercentile(99)} ms, ${(messages / SAMPLES).toFixed(1)} peer messages per request, including ${seconds.toFixed(1)} s of heartbeats\n`,
  );
  return durations.valueAtPercentile(50);
}

async function setCustomerChoice(
  fleet: Fleet,
  port: number,
  n: number,
): Promise<void> {
  const res = await httpCall({
    port,
    method: 'PUT',
    path: `/v1/customers/guest-${n}/behaviours`,
    body: JSON.stringify({choices: {reminders: 'letter'}}),
    agent: fleet.agent,
  });
  if (res.status !== 200) {
    throw new Error(res.text);
  }
}
