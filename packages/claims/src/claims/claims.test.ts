import {Membership} from '@papayarun/membership';
import type {
  BootId,
  DataCentreId,
  InstanceId,
  Outcome,
} from '@papayarun/protocol';
import {formatRequestKeyPrefix, SeededRandom} from '@papayarun/protocol';
import type {
  ClaimView,
  ControlCommand,
  ControlResult,
  ControlState,
} from '@papayarun/releases';
import {applyCommand, EMPTY_CONTROL_STATE} from '@papayarun/releases';
import type {MemoryNetworkEnd} from '@papayarun/test_kit';
import {
  GatedClock,
  MemoryNetwork,
  SilentLog,
  VirtualClock,
} from '@papayarun/test_kit';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ClaimTable} from '../claim_table/claim_table.js';
import {Seat} from '../seat/seat.js';
import {ViewKeeper} from '../view_keeper/view_keeper.js';
import {Claims} from './claims.js';

const NAMES = ['a', 'b', 'c'] as InstanceId[];
const CENTRO = 'centro' as DataCentreId;
const HEARTBEAT_MS = 50;
const TIMEOUT_MS = 250;
const RUN_MS = 60;
const WAIT_MS = 1_500;
const NEVER_ABORTED = new AbortController().signal;
const RUNS = Number(process.env['PAPAYARUN_RUNS'] ?? 150);
const SEED = Number(process.env['PAPAYARUN_SEED'] ?? 40);

/** One process of an instance. */
interface Process {
  readonly end: MemoryNetworkEnd;
  readonly claims: Claims;
  readonly seat: Seat;
  readonly stop: () => void;
  state: ControlState;
  isUp: boolean;
  hasControl: boolean;
}

/** Instances of a data centre, and a release log that is always right. */
class Bench {
  readonly clock = VirtualClock.create();
  readonly starts = new Map<string, number>();
  readonly answered = new Map<string, Set<string>>();
  readonly processes = new Map<InstanceId, Process>();
  readonly ids: string[] = [];
  private readonly random;
  private readonly net;
  private control = EMPTY_CONTROL_STATE;
  private made = 0;

  constructor(seed: number) {
    this.random = SeededRandom.create(seed);
    this.net = MemoryNetwork.create(this.clock, this.random, 5);
    for (const name of NAMES) {
      this.start(name);
    }
  }

  start(name: InstanceId): void {
    if (this.processes.has(name)) {
      return;
    }
    const end = this.net.join(name);
    const clock = GatedClock.create(this.clock, end.gate);
    const log = SilentLog.create();
    const table = ClaimTable.create(1_000, 1 << 20, 600_000);
    const view = (): ClaimView | undefined => process.state.views[CENTRO];
    const renew = (): void => {
      seat.reset();
      table.clear();
      membership.renew(this.newBoot());
    };
    const membership = Membership.create({
      self: name,
      dataCentre: CENTRO,
      boot: this.newBoot(),
      network: end,
      clock,
      heartbeatMs: HEARTBEAT_MS,
      timeoutMs: TIMEOUT_MS,
      ownState: () => 'ready',
      describe: () => ({
        role: 'all',
        state: 'ready',
        stateIndex: 0,
        currentAgeMs: 0,
        digest: {own: {}, dataCentre: {}},
      }),
      onHeartbeat: () => undefined,
      onChange: () => undefined,
      onLiveHere: () => undefined,
      onPause: renew,
    });
    const seat = Seat.create({
      network: end,
      table,
      log,
      boot: () => membership.boot,
      view,
    });
    const claims = Claims.create({
      dataCentre: CENTRO,
      network: end,
      membership,
      clock,
      log,
      table,
      seat,
      view,
      windowMs: 500_000,
      clockSkewMs: 10_000,
      claimTimeoutMs: 1_000,
      makeClaimId: () => `claim${++this.made}`,
    });
    const viewKeeper = ViewKeeper.create({
      self: name,
      dataCentre: CENTRO,
      clock,
      log,
      membership,
      seat,
      periodMs: HEARTBEAT_MS,
      view,
      propose: command => this.propose(process, command),
      renew,
      isCurrent: () => process.hasControl,
    });
    const process: Process = {
      end,
      claims,
      seat,
      state: EMPTY_CONTROL_STATE,
      isUp: true,
      hasControl: true,
      stop: () => {
        membership.stop();
        viewKeeper.stop();
      },
    };
    this.processes.set(name, process);
    membership.start();
    viewKeeper.start();
    void this.follow(process);
  }

  crash(name: InstanceId): void {
    const process = this.processes.get(name);
    if (process) {
      process.isUp = false;
      this.net.leave(name);
      process.stop();
      this.processes.delete(name);
    }
  }

  freeze(name: InstanceId): void {
    this.processes.get(name)?.end.gate.close();
  }

  thaw(name: InstanceId): void {
    this.processes.get(name)?.end.gate.open();
  }

  cut(a: InstanceId, b: InstanceId): void {
    this.net.setCut(a, b, true);
    this.net.setCut(b, a, true);
  }

  connect(a: InstanceId, b: InstanceId): void {
    this.net.setCut(a, b, false);
    this.net.setCut(b, a, false);
  }

  setControl(name: InstanceId, has: boolean): void {
    const process = this.processes.get(name);
    if (process) {
      process.hasControl = has;
    }
  }

  heal(): void {
    this.net.heal();
    for (const name of NAMES) {
      this.thaw(name);
      this.setControl(name, true);
      this.start(name);
    }
  }

  newId(): string {
    const generation = this.control.views[CENTRO]?.generation ?? 0;
    const prefix = formatRequestKeyPrefix(
      CENTRO,
      generation,
      this.clock.wallNow(),
    );
    const id = `${prefix}request-${++this.made}`;
    this.ids.push(id);
    return id;
  }

  /** Sends an id to an instance; its answer, if one comes, is recorded. */
  send(name: InstanceId, id: string): void {
    const process = this.processes.get(name);
    if (!process) {
      return;
    }
    void process.claims
      .runOnce(id, 'content', WAIT_MS, NEVER_ABORTED, () =>
        this.run(process, id),
      )
      .then(outcome => {
        const texts = this.answered.get(id) ?? new Set();
        texts.add(
          outcome.kind === 'answered' ? 'ran' : outcome.refusal.verdict.kind,
        );
        this.answered.set(id, texts);
      });
  }

  views(): Array<ClaimView | undefined> {
    return [...this.processes.values()].map(p => p.state.views[CENTRO]);
  }

  private async run(process: Process, id: string): Promise<Outcome> {
    await process.end.gate.pass();
    if (!process.isUp) {
      return new Promise<never>(() => undefined);
    }
    const starts = (this.starts.get(id) ?? 0) + 1;
    this.starts.set(id, starts);
    expect(starts, id).toBe(1);
    await this.clock.sleep(RUN_MS);
    await process.end.gate.pass();
    if (!process.isUp) {
      return new Promise<never>(() => undefined);
    }
    const answer = {
      status: 200,
      contentType: 'text/plain',
      body: Buffer.from(id),
      release: 1,
    };
    return {kind: 'answered', answer};
  }

  private newBoot(): BootId {
    return `boot${++this.made}` as BootId;
  }

  /** Hears of changes late, and not of each one. */
  private async follow(process: Process): Promise<void> {
    while (process.isUp) {
      await this.clock.sleep(10 + this.random.next() * 60);
      await process.end.gate.pass();
      if (
        process.isUp &&
        process.hasControl &&
        process.state !== this.control
      ) {
        process.state = this.control;
        void process.seat.join();
      }
    }
  }

  private async propose(
    process: Process,
    command: ControlCommand,
  ): Promise<ControlResult | undefined> {
    await this.clock.sleep(this.random.next() * 20);
    if (!process.hasControl) {
      return undefined;
    }
    const {state, result} = applyCommand(this.control, command);
    this.control = state;
    await this.clock.sleep(this.random.next() * 20);
    await process.end.gate.pass();
    return result;
  }
}

const at = fc.constantFrom(...NAMES);
const action = fc.oneof(
  {weight: 8, arbitrary: fc.record({kind: fc.constant('new' as const), at})},
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('again' as const),
      at,
      back: fc.nat(3),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.nat(2 * TIMEOUT_MS),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        'crash' as const,
        'start' as const,
        'freeze' as const,
        'thaw' as const,
        'noControl' as const,
      ),
      at,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({kind: fc.constant('cut' as const), at, to: at}),
  },
  {weight: 1, arbitrary: fc.record({kind: fc.constant('crashAll' as const)})},
  {weight: 2, arbitrary: fc.record({kind: fc.constant('heal' as const)})},
);

type Action = typeof action extends fc.Arbitrary<infer T> ? T : never;

async function act(bench: Bench, step: Action): Promise<void> {
  switch (step.kind) {
    case 'new':
      bench.send(step.at, bench.newId());
      return;
    case 'again': {
      const id = bench.ids.at(-1 - step.back);
      if (id !== undefined) {
        bench.send(step.at, id);
      }
      return;
    }
    case 'wait':
      await bench.clock.advance(step.ms);
      return;
    case 'crash':
      bench.crash(step.at);
      return;
    case 'start':
      bench.start(step.at);
      return;
    case 'freeze':
      bench.freeze(step.at);
      return;
    case 'thaw':
      bench.thaw(step.at);
      return;
    case 'noControl':
      bench.setControl(step.at, false);
      return;
    case 'cut':
      bench.cut(step.at, step.to);
      return;
    case 'crashAll':
      NAMES.forEach(name => bench.crash(name));
      return;
    case 'heal':
      bench.heal();
      return;
    default:
      step satisfies never;
  }
}

describe('Claims', () => {
  it('start no id twice through any crashes, freezes, cuts and changes of view', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.nat(2 ** 30),
        fc.array(action, {minLength: 5, maxLength: 50}),
        async (seed, steps) => {
          const bench = new Bench(seed);
          await bench.clock.advance(2_000);
          for (const step of steps) {
            await act(bench, step);
          }
          bench.heal();
          await bench.clock.advance(4_000);
          for (const id of bench.ids) {
            NAMES.forEach(name => bench.send(name, id));
          }
          await bench.clock.advance(2 * WAIT_MS);
          for (const id of bench.ids) {
            expect(bench.starts.get(id) ?? 0).toBeLessThanOrEqual(1);
          }
          // The data centre works again, whatever happened to it.
          const id = bench.newId();
          bench.send(NAMES[0]!, id);
          await bench.clock.advance(WAIT_MS);
          expect(bench.answered.get(id)).toEqual(new Set(['ran']));
          expect(bench.views().map(view => view?.members.length)).toEqual([
            3, 3, 3,
          ]);
          NAMES.forEach(name => bench.crash(name));
        },
      ),
      {seed: SEED, numRuns: RUNS},
    );
  });

  it('give a removed member that does not know it no acknowledgement', async () => {
    const bench = new Bench(41);
    const [a, b, c] = NAMES as [InstanceId, InstanceId, InstanceId];
    bench.crash(c);
    await bench.clock.advance(2_000);
    const id = bench.newId();
    bench.setControl(a, false);
    bench.cut(a, b);
    await bench.clock.advance(1_000);
    bench.start(c);
    bench.cut(a, c);
    await bench.clock.advance(1_000);
    expect(
      bench.processes
        .get(b)!
        .state.views[CENTRO]!.members.map(m => m.instanceId),
    ).toEqual([b, c]);
    bench.connect(a, b);
    await bench.clock.advance(5);
    bench.send(a, id);
    await bench.clock.advance(1_000);
    bench.crash(b);
    bench.crash(a);
    await bench.clock.advance(2_000);
    bench.send(c, id);
    await bench.clock.advance(2_000);
    expect(bench.starts.get(id)).toBe(1);
    expect(bench.answered.get(id)).toContain('ran');
  });

  it('are transferred before a new member answers for them', async () => {
    const bench = new Bench(42);
    const [a, b, c] = NAMES as [InstanceId, InstanceId, InstanceId];
    bench.crash(c);
    await bench.clock.advance(2_000);
    const id = bench.newId();
    bench.send(a, id);
    await bench.clock.advance(500);
    bench.start(c);
    await bench.clock.advance(2_000);
    bench.crash(a);
    bench.crash(b);
    await bench.clock.advance(2_000);
    bench.send(c, id);
    await bench.clock.advance(2_000);
    expect(bench.starts.get(id)).toBe(1);
    expect(bench.answered.get(id)).toEqual(new Set(['ran']));
  });

  it('are lost with the incarnation that made them, also when the next one answers', async () => {
    for (let seed = 43; seed < 83; seed++) {
      const bench = new Bench(seed);
      const [a, b] = NAMES as [InstanceId, InstanceId];
      await bench.clock.advance(2_000);
      const id = bench.newId();
      bench.send(a, id);
      await bench.clock.advance(10 + (seed % 10));
      bench.crash(a);
      bench.send(b, id);
      bench.start(a);
      await bench.clock.advance(3_000);
      expect(bench.starts.get(id), `seed ${seed}`).toBe(1);
      NAMES.forEach(name => bench.crash(name));
    }
  });
});
