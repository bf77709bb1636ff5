import type {DataCentreId, Heartbeat, InstanceId} from '@papayarun/protocol';
import {DispatchError} from '@papayarun/protocol';
import type {ControlCommand, ControlResult} from '@papayarun/releases';
import {
  applyCommand,
  EMPTY_CONTROL_STATE,
  isEvacuated,
} from '@papayarun/releases';
import {SilentLog, VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {EvacuationOrders} from './evacuation_orders.js';

const CENTRO = 'centro' as DataCentreId;
const PEER_TIMEOUT_MS = 900;
const UNLIMITED = new AbortController().signal;

/** A log of one replica, and a state instance that lags behind it. */
class Fixture {
  readonly clock = VirtualClock.create();
  readonly proposed: ControlCommand[] = [];
  readonly peers: Array<Pick<Heartbeat, 'appliesEvacuations'>> = [];
  /** State of the log. */
  log = EMPTY_CONTROL_STATE;
  /** State as far as this instance has applied it. */
  store = {state: EMPTY_CONTROL_STATE};
  /** Called before a command is applied. */
  beforeApply = (): void | Promise<void> => undefined;
  afterNextReading = (): Promise<number> => Promise.resolve(this.clock.now());
  isAnswerLost = false;

  readonly orders = EvacuationOrders.create({
    clock: this.clock,
    log: SilentLog.create(),
    store: this.store,
    control: () => ({propose: command => this.propose(command)}),
    livePeers: () =>
      this.peers.map((heartbeat, n) => ({
        instanceId: `peer-${n}` as InstanceId,
        heartbeat,
      })),
    afterNextReading: () => this.afterNextReading(),
    peerTimeoutMs: PEER_TIMEOUT_MS,
  });

  /** Waits until the live peers of a new instance are known. */
  async settle(): Promise<this> {
    await this.clock.advance(PEER_TIMEOUT_MS);
    return this;
  }

  applyElsewhere(isEvacuated: boolean): void {
    const fromSerial = this.log.evacuations[CENTRO]?.serial ?? 0;
    const command = {dataCentre: CENTRO, isEvacuated, fromSerial, atMs: 0};
    this.log = applyCommand(this.log, {
      kind: 'setEvacuation',
      ...command,
    }).state;
  }

  private async propose(command: ControlCommand): Promise<ControlResult> {
    this.proposed.push(command);
    await this.beforeApply();
    const {state, result} = applyCommand(this.log, command);
    this.log = state;
    if (this.isAnswerLost) {
      this.isAnswerLost = false;
      throw DispatchError.mayHaveRun('noQuorum', 'link lost');
    }
    return result;
  }
}

describe('EvacuationOrders', () => {
  it('acknowledges an order again that is in force', async () => {
    const fixture = await new Fixture().settle();
    await fixture.orders.set(CENTRO, true, UNLIMITED);
    await fixture.orders.set(CENTRO, true, UNLIMITED);
    expect(isEvacuated(fixture.log, CENTRO)).toBe(true);
  });

  // The operator sends the order again, as it got no answer.
  it('acknowledges an order whose leader ended after the commit', async () => {
    const fixture = await new Fixture().settle();
    fixture.isAnswerLost = true;
    await expect(
      fixture.orders.set(CENTRO, true, UNLIMITED),
    ).rejects.toMatchObject({refusal: {verdict: {kind: 'mayHaveRun'}}});
    await fixture.orders.set(CENTRO, true, UNLIMITED);
    expect(isEvacuated(fixture.log, CENTRO)).toBe(true);
  });

  // A copy that a paused process read after the withdrawal evacuated it again.
  it('proposes no order whose sender has left', async () => {
    const fixture = await new Fixture().settle();
    const sender = new AbortController();
    fixture.afterNextReading = () => {
      sender.abort();
      return Promise.resolve(fixture.clock.now());
    };
    await expect(
      fixture.orders.set(CENTRO, true, sender.signal),
    ).rejects.toMatchObject({refusal: {code: 'cancelled'}});
    expect(fixture.proposed).toEqual([]);
  });

  it('reads again what has arrived if the process was paused since', async () => {
    const fixture = await new Fixture().settle();
    const sender = new AbortController();
    let readings = 0;
    fixture.afterNextReading = async () => {
      const readUpToMs = fixture.clock.now();
      if (++readings === 1) {
        await fixture.clock.advance(5_000);
      } else {
        sender.abort();
      }
      return readUpToMs;
    };
    await expect(
      fixture.orders.set(CENTRO, true, sender.signal),
    ).rejects.toMatchObject({refusal: {code: 'cancelled'}});
    expect(fixture.proposed).toEqual([]);
  });

  // The order was sent again at another instance, then withdrawn, and this copy was
  // held up on its way to the leader.
  it('does not restore an order that was withdrawn while a copy was on its way', async () => {
    const fixture = await new Fixture().settle();
    const sender = new AbortController();
    fixture.beforeApply = () => {
      fixture.beforeApply = () => undefined;
      fixture.applyElsewhere(true);
      fixture.applyElsewhere(false);
      sender.abort();
    };
    const answer = fixture.orders.set(CENTRO, true, sender.signal);
    fixture.store.state = EMPTY_CONTROL_STATE;
    void fixture.clock.sleep(20).then(() => {
      fixture.store.state = fixture.log;
    });
    const rejected = expect(answer).rejects.toMatchObject({
      refusal: {verdict: {kind: 'notRun'}},
    });
    await fixture.clock.advance(1_000);
    await rejected;
    expect(isEvacuated(fixture.log, CENTRO)).toBe(false);
    expect(fixture.proposed).toHaveLength(1);
  });

  // Its sender had turned to another instance long before, but the end of its
  // connection was held up like the answer of the leader.
  it('does not restore a withdrawn order whose sender seems to wait for too long', async () => {
    const fixture = await new Fixture().settle();
    fixture.beforeApply = () => {
      fixture.beforeApply = () => undefined;
      fixture.applyElsewhere(true);
      fixture.applyElsewhere(false);
      fixture.store.state = fixture.log;
      return fixture.clock.advance(1_100);
    };
    await expect(
      fixture.orders.set(CENTRO, true, UNLIMITED),
    ).rejects.toMatchObject({refusal: {verdict: {kind: 'notRun'}}});
    expect(isEvacuated(fixture.log, CENTRO)).toBe(false);
    expect(fixture.proposed).toHaveLength(1);
  });

  // A replica that was a moment behind answered 503 to a withdrawal.
  it('proposes an order anew that was rejected, once it has caught up', async () => {
    const fixture = await new Fixture().settle();
    fixture.applyElsewhere(true);
    const answer = fixture.orders.set(CENTRO, false, UNLIMITED);
    void fixture.clock.sleep(20).then(() => {
      fixture.store.state = fixture.log;
    });
    await fixture.clock.advance(100);
    await answer;
    expect(isEvacuated(fixture.log, CENTRO)).toBe(false);
    expect(fixture.proposed).toHaveLength(2);
  });

  // An instance of an earlier version failed to apply the command.
  it('proposes nothing while a live instance would not apply it', async () => {
    const fixture = await new Fixture().settle();
    fixture.peers.push({appliesEvacuations: true}, {});
    await expect(
      fixture.orders.set(CENTRO, true, UNLIMITED),
    ).rejects.toMatchObject({refusal: {verdict: {kind: 'notRun'}}});
    expect(fixture.proposed).toEqual([]);
    fixture.peers.pop();
    await fixture.orders.set(CENTRO, true, UNLIMITED);
    expect(isEvacuated(fixture.log, CENTRO)).toBe(true);
  });

  // An instance that had just started proposed the command before it had heard of an
  // entry instance of an earlier version, which failed to apply it.
  it('proposes nothing for the first time before it can know its live peers', async () => {
    const fixture = new Fixture();
    await expect(
      fixture.orders.set(CENTRO, true, UNLIMITED),
    ).rejects.toMatchObject({refusal: {verdict: {kind: 'notRun'}}});
    expect(fixture.proposed).toEqual([]);
    await fixture.settle();
    await fixture.orders.set(CENTRO, true, UNLIMITED);
    expect(isEvacuated(fixture.log, CENTRO)).toBe(true);
  });

  it('serves an instance that has just started once an order was made before', async () => {
    const fixture = new Fixture();
    fixture.applyElsewhere(true);
    fixture.store.state = fixture.log;
    await fixture.orders.set(CENTRO, false, UNLIMITED);
    expect(isEvacuated(fixture.log, CENTRO)).toBe(false);
  });
});
