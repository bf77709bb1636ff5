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
} from '@papayarun/releases';
import {applyCommand, EMPTY_CONTROL_STATE} from '@papayarun/releases';
import {
  GatedClock,
  MemoryNetwork,
  SilentLog,
  VirtualClock,
} from '@papayarun/test_kit';
import {expect} from 'vitest';
import {ClaimTable} from '../claim_table/claim_table.js';
import {Claims} from '../claims/claims.js';
import {ViewMembership} from '../view_membership/view_membership.js';
import {ViewReconciler} from '../view_reconciler/view_reconciler.js';
import {answerOf} from './answer_of.js';
import {INSTANCE_IDS} from './instance_ids.js';
import type {SimulatedProcess} from './simulated_process.js';

const DATA_CENTRE = 'centro' as DataCentreId;
const HEARTBEAT_MS = 50;
const TIMEOUT_MS = 250;
const RUN_MS = 60;
const WAIT_MS = 1_500;
const LEAVE_MS = 1_000;
const NEVER_ABORTED = new AbortController().signal;

/**
 * Simulates the instances of a data centre and a replicated log that is always
 * consistent.
 */
export class SimulatedDataCentre {
  readonly clock = VirtualClock.create();
  readonly startsById = new Map<string, number>();
  readonly verdictsById = new Map<string, Set<string>>();
  readonly processes = new Map<InstanceId, SimulatedProcess>();
  readonly ids: string[] = [];
  private readonly random;
  private readonly net;
  private controlState = EMPTY_CONTROL_STATE;
  private logIndex = 0;
  private lastNumber = 0;

  /**
   * @param seed - Seed of delays.
   * @param maxAnswerBytes - Limit of the stored answers of an instance, in bytes.
   * @param outcomeOf - Outcome of the work of an id.
   */
  constructor(
    seed: number,
    private readonly maxAnswerBytes = 1 << 20,
    private readonly outcomeOf = (id: string): Outcome =>
      answerOf(Buffer.from(id)),
  ) {
    this.random = SeededRandom.create(seed);
    this.net = MemoryNetwork.create(this.clock, this.random, 5);
    for (const name of INSTANCE_IDS) {
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
    const table = ClaimTable.create(log, 1_000, this.maxAnswerBytes, 600_000);
    const view = (): ClaimView | undefined => process.state.views[DATA_CENTRE];
    const startNewIncarnation = (): void => {
      viewMembership.reset();
      table.clear();
      membership.startNewIncarnation(this.newBoot());
    };
    const membership = Membership.create({
      self: name,
      dataCentre: DATA_CENTRE,
      boot: this.newBoot(),
      network: end,
      clock,
      heartbeatMs: HEARTBEAT_MS,
      timeoutMs: TIMEOUT_MS,
      ownState: () => 'ready',
      heartbeatFields: () => ({
        role: 'all',
        state: process.isDraining ? 'draining' : 'ready',
        stateIndex: process.stateIndex,
        currentAgeMs: 0,
        digest: {own: {}, dataCentre: {}},
      }),
      onHeartbeat: () => undefined,
      onChange: () => undefined,
      onLiveInDataCentreChange: () => undefined,
      onProcessPaused: startNewIncarnation,
    });
    const viewMembership = ViewMembership.create({
      network: end,
      table,
      log,
      boot: () => membership.boot,
      view,
      maxFrameBytes: this.net.maxFrameBytes,
    });
    const claims = Claims.create({
      dataCentre: DATA_CENTRE,
      network: end,
      membership,
      clock,
      log,
      table,
      viewMembership,
      view,
      claimWindowMs: 500_000,
      clockSkewMs: 10_000,
      claimTimeoutMs: 1_000,
      makeClaimId: () => `claim${++this.lastNumber}`,
    });
    const viewReconciler = ViewReconciler.create({
      self: name,
      dataCentre: DATA_CENTRE,
      clock,
      log,
      membership,
      viewMembership,
      periodMs: HEARTBEAT_MS,
      view,
      stateIndex: () => process.stateIndex,
      propose: command => this.propose(process, command),
      startNewIncarnation,
      isStateRecent: () => process.canReachLog,
    });
    const process: SimulatedProcess = {
      end,
      claims,
      table,
      membership,
      viewMembership,
      state: EMPTY_CONTROL_STATE,
      stateIndex: 0,
      isUp: true,
      isDraining: false,
      canReachLog: true,
      stop: () => {
        membership.stop();
        viewReconciler.stop();
      },
      leave: () => viewReconciler.leave(LEAVE_MS),
    };
    this.processes.set(name, process);
    membership.start();
    viewReconciler.start();
    void this.followLog(process);
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

  /** Ends a process in order, once it has left the claim view. */
  async terminate(name: InstanceId): Promise<void> {
    const process = this.processes.get(name);
    if (process) {
      process.isDraining = true;
      await process.leave();
      this.crash(name);
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

  setLogReachable(name: InstanceId, isReachable: boolean): void {
    const process = this.processes.get(name);
    if (process) {
      process.canReachLog = isReachable;
    }
  }

  /** Limits the size of a message, in bytes; a larger one is lost. */
  limitFrames(maxBytes: number): void {
    this.net.maxFrameBytes = maxBytes;
  }

  heal(): void {
    this.net.heal();
    for (const name of INSTANCE_IDS) {
      this.thaw(name);
      this.setLogReachable(name, true);
      this.start(name);
    }
  }

  newId(): string {
    const generation = this.controlState.views[DATA_CENTRE]?.generation ?? 0;
    const prefix = formatRequestKeyPrefix(
      DATA_CENTRE,
      generation,
      this.clock.wallNow(),
    );
    const id = `${prefix}request-${++this.lastNumber}`;
    this.ids.push(id);
    return id;
  }

  /** Sends an id to an instance and records the verdict, if one is returned. */
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
        const verdicts = this.verdictsById.get(id) ?? new Set();
        verdicts.add(
          outcome.kind === 'answered' ? 'ran' : outcome.refusal.verdict.kind,
        );
        this.verdictsById.set(id, verdicts);
      });
  }

  views(): Array<ClaimView | undefined> {
    return [...this.processes.values()].map(p => p.state.views[DATA_CENTRE]);
  }

  private async run(process: SimulatedProcess, id: string): Promise<Outcome> {
    await process.end.gate.pass();
    if (!process.isUp) {
      return new Promise<never>(() => undefined);
    }
    const starts = (this.startsById.get(id) ?? 0) + 1;
    this.startsById.set(id, starts);
    expect(starts, id).toBe(1);
    await this.clock.sleep(RUN_MS);
    await process.end.gate.pass();
    if (!process.isUp) {
      return new Promise<never>(() => undefined);
    }
    return this.outcomeOf(id);
  }

  private newBoot(): BootId {
    return `boot${++this.lastNumber}` as BootId;
  }

  /** Delivers log states to a process with delay, skipping intermediate ones. */
  private async followLog(process: SimulatedProcess): Promise<void> {
    while (process.isUp) {
      await this.clock.sleep(10 + this.random.next() * 60);
      await process.end.gate.pass();
      if (
        process.isUp &&
        process.canReachLog &&
        process.stateIndex !== this.logIndex
      ) {
        process.state = this.controlState;
        process.stateIndex = this.logIndex;
        void process.viewMembership.syncClaims();
      }
    }
  }

  private async propose(
    process: SimulatedProcess,
    command: ControlCommand,
  ): Promise<ControlResult | undefined> {
    await this.clock.sleep(this.random.next() * 20);
    if (!process.canReachLog) {
      return undefined;
    }
    const {state, result} = applyCommand(this.controlState, command);
    this.controlState = state;
    this.logIndex++;
    await this.clock.sleep(this.random.next() * 20);
    await process.end.gate.pass();
    return result;
  }
}
