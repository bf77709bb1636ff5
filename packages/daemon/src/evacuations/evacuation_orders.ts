import type {
  Clock,
  DataCentreId,
  EventLog,
  Heartbeat,
  InstanceId,
} from '@papayarun/protocol';
import {DispatchError} from '@papayarun/protocol';
import type {ControlStore} from '@papayarun/releases';
import type {ControlClient} from '../control_client/control_client.js';

/**
 * Age up to which a reading tells that a sender still waits, in milliseconds; less
 * than the second after which an operator turns to another instance.
 */
const MAX_READING_AGE_MS = 200;
/**
 * Age from which an order is not proposed anew, in milliseconds: its operator has
 * turned to another instance, even if the end of the connection isn't read yet.
 */
const MAX_ORDER_AGE_MS = 1_000;
/** Longest wait for the order that has overtaken a command, in milliseconds. */
const APPLY_TIMEOUT_MS = 500;
const APPLY_POLL_INTERVAL_MS = 5;

/**
 * Options of the evacuation orders.
 */
export interface EvacuationOrdersOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly store: Pick<ControlStore, 'state'>;
  readonly control: () => Pick<ControlClient, 'propose'>;
  /** Live peers with their last heartbeats. */
  readonly livePeers: () => ReadonlyArray<{
    readonly instanceId: InstanceId;
    readonly heartbeat: Pick<Heartbeat, 'appliesEvacuations'>;
  }>;
  /**
   * Resolves when what has arrived on open connections has been read, with the
   * monotonic time up to which it has, in milliseconds.
   */
  readonly afterNextReading: () => Promise<number>;
  /**
   * Time after its last heartbeat for which a peer counts as live, in milliseconds;
   * a new instance has heard of all live peers after this time.
   */
  readonly peerTimeoutMs: number;
}

/**
 * Has the log evacuate data centres and take them back.
 *
 * @description The orders of operators bear neither a version nor an id. So that a
 * late copy of an order doesn't undo a later one, an order is proposed only while its
 * sender waits, and in place of the order that was in force when it arrived.
 */
export class EvacuationOrders {
  private readonly createdMs: number;

  private constructor(private readonly opts: EvacuationOrdersOptions) {
    this.createdMs = opts.clock.now();
  }

  /**
   * Creates the orders.
   *
   * @param opts - Log, control state and peers.
   * @returns The orders.
   * @example
   * const orders = EvacuationOrders.create(opts);
   */
  static create(opts: EvacuationOrdersOptions): EvacuationOrders {
    return new EvacuationOrders(opts);
  }

  /**
   * Evacuates a data centre, or takes it back.
   *
   * @param dataCentre - The data centre.
   * @param isEvacuated - Whether it is to be evacuated.
   * @param signal - Aborts when the sender of the order disconnects.
   * @returns Resolves when the order is in force and durable.
   * @throws DispatchError `notRun` when it was not accepted, `mayHaveRun` when it is
   *   unknown whether it was.
   */
  async set(
    dataCentre: DataCentreId,
    isEvacuated: boolean,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, control, log} = this.opts;
    const arrivedMs = clock.now();
    this.checkPeers();
    for (;;) {
      // Known before what has arrived is read: a process that was paused meanwhile
      // proposes to replace an order that no longer is in force, and is rejected.
      const fromSerial = this.serialOf(dataCentre);
      await this.checkSenderWaits(signal);
      const result = await control().propose(
        {
          kind: 'setEvacuation',
          dataCentre,
          isEvacuated,
          fromSerial,
          atMs: clock.wallNow(),
        },
        signal,
      );
      if (result.kind !== 'evacuation') {
        throw DispatchError.mayHaveRun(
          'internal',
          'setEvacuation returned a result of another kind than `evacuation`',
        );
      }
      const {accepted, serial} = result;
      log.emit('evacuationDecided', {
        // `dataCentre` is that of the instance in all events.
        ordered: dataCentre,
        isEvacuated,
        accepted,
        serial,
      });
      if (accepted) {
        return;
      }
      await this.waitUntilApplied(dataCentre, serial);
      if (clock.now() - arrivedMs > MAX_ORDER_AGE_MS) {
        throw DispatchError.notRun(
          'cancelled',
          'the data centre got another order since this one arrived',
        );
      }
    }
  }

  /**
   * Checks that no live instance would fail to apply the command. After the first
   * order, instances of versions without it can't be used any more.
   */
  private checkPeers(): void {
    if (Object.keys(this.opts.store.state.evacuations).length > 0) {
      return;
    }
    const {clock, peerTimeoutMs} = this.opts;
    if (clock.now() - this.createdMs < peerTimeoutMs) {
      throw DispatchError.notRun(
        'internal',
        'this instance has just started and may not know all live peers yet',
      );
    }
    const unable = this.opts
      .livePeers()
      .find(({heartbeat}) => !heartbeat.appliesEvacuations);
    if (unable) {
      throw DispatchError.notRun(
        'internal',
        `${unable.instanceId} does not apply evacuations`,
      );
    }
  }

  private async checkSenderWaits(signal: AbortSignal): Promise<void> {
    const {afterNextReading, clock} = this.opts;
    let readUpToMs: number;
    do {
      readUpToMs = await afterNextReading();
      if (signal.aborted) {
        throw DispatchError.notRun(
          'cancelled',
          'the sender of the order has closed its connection',
        );
      }
    } while (clock.now() - readUpToMs > MAX_READING_AGE_MS);
  }

  private async waitUntilApplied(
    dataCentre: DataCentreId,
    serial: number,
  ): Promise<void> {
    const {clock} = this.opts;
    const endMs = clock.now() + APPLY_TIMEOUT_MS;
    while (this.serialOf(dataCentre) < serial) {
      if (clock.now() > endMs) {
        throw DispatchError.notRun(
          'noQuorum',
          'another order on the data centre is not applied here yet',
        );
      }
      await clock.sleep(APPLY_POLL_INTERVAL_MS);
    }
  }

  private serialOf(dataCentre: DataCentreId): number {
    return this.opts.store.state.evacuations[dataCentre]?.serial ?? 0;
  }
}
