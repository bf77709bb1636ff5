import {randomUUID} from 'node:crypto';
import {httpCall} from '../http_call/http_call.js';
import type {Bound} from './bound.js';
import {Fleet} from './fleet.js';
import type {LoadSpec} from './load_spec.js';
import {printBounds} from './print_bounds.js';
import {RatioRecorder} from './ratio_recorder.js';

const SAMPLES = 600;
const WARM_UP = 200;

/** One way to make sure that work starts once. */
interface Way {
  readonly name: string;
  readonly once: (n: number) => Promise<void>;
}

/**
 * What a claim on all members adds to a request, beside a synced command.
 *
 * @description A customer's choice is a command of the release log: it is
 * synced on a majority of three replicas before it is answered, as a synced
 * claim would be. Requests run for 0 ms, one at a time.
 * @returns Whether all bounds hold.
 * @throws Error when the instances can't be started.
 * @example
 * const held = await claimBench();
 */
export async function claimBench(): Promise<boolean> {
  const fleet = await Fleet.create({
    dataCentres: ['centro', 'serra', 'ribeira'],
    instancesEach: 3,
    targetsEach: 3,
    slots: 8,
    decisions: false,
  });
  try {
    await fleet.applyNote({
      noteId: 'claims',
      base: 0,
      added: {'behaviour:reminders': 'text'},
    });
    const ports = fleet.cluster.callersPorts('centro');
    const prefix = await fleet.cluster.idPrefix('centro-1');
    const spec: LoadSpec = {
      kind: 'default',
      callers: 1,
      urgency: 1,
      perSecond: 0,
      minRunMs: 0,
      maxRunMs: 0,
      deadlineMs: 5_000,
      seconds: 0,
    };
    const portOf = (n: number): number => ports[n % ports.length]!;
    const send = async (n: number, id?: string): Promise<void> => {
      const outcome = await fleet.send(portOf(n), spec, 0, n, id);
      if (outcome !== 'answered') {
        throw new Error(`request ${n}: ${outcome}`);
      }
    };
    const ways: Way[] = [
      {name: 'repeatable, no claim', once: n => send(n)},
      {
        name: 'claim on all three members',
        once: n => send(n, `${prefix}${randomUUID()}`),
      },
      {
        name: 'synced command of the release log',
        once: n => choose(fleet, portOf(n), n),
      },
    ];
    const medians: number[] = [];
    for (const way of ways) {
      medians.push(await measure(fleet, way));
    }
    const [bare, claimed, synced] = medians as [number, number, number];
    const bounds: Bound[] = [
      {
        name: 'added by a claim over added by a synced command',
        value: (claimed - bare) / synced,
        limit: 1,
        is: 'atMost',
      },
    ];
    return printBounds('ways to start once', bounds);
  } finally {
    await fleet.close();
  }
}

async function measure(fleet: Fleet, way: Way): Promise<number> {
  for (let n = 0; n < WARM_UP; n++) {
    await way.once(n);
  }
  const before = await fleet.metric('papayarun_peer_messages_total');
  const startMs = performance.now();
  const times = RatioRecorder.create();
  for (let n = 0; n < SAMPLES; n++) {
    const sentMs = performance.now();
    await way.once(n);
    times.record(performance.now() - sentMs);
  }
  const seconds = (performance.now() - startMs) / 1_000;
  const messages =
    (await fleet.metric('papayarun_peer_messages_total')) - before;
  process.stdout.write(
    `  ${way.name}: median ${times.at(50)} ms, 99th ${times.at(99)} ms, ${(messages / SAMPLES).toFixed(1)} messages each with ${seconds.toFixed(1)} s of heartbeats\n`,
  );
  return times.at(50);
}

async function choose(fleet: Fleet, port: number, n: number): Promise<void> {
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
