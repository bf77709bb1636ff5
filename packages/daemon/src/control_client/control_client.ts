import type {
  Clock,
  Heartbeat,
  InstanceId,
  PeerNetwork,
  ProposeCall,
} from '@papayarun/protocol';
import {
  DispatchError,
  PeerCallError,
  decodeMessage,
  encodeMessage,
} from '@papayarun/protocol';
import type {
  ControlCommand,
  ControlResult,
  ControlStore,
} from '@papayarun/releases';
import type {Replica} from '@papayarun/replication';

const CALL_TIMEOUT_MS = 6_000;
const READ_TIMEOUT_MS = 2_000;
const RETRY_PAUSE_MS = 100;

/**
 * What the way to the release log needs.
 */
export interface ControlClientOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly store: ControlStore;
  readonly replica: Replica | undefined;
  readonly replicaInstances: readonly InstanceId[];
  /** Longest search for a leader, in milliseconds. */
  readonly leaderTimeoutMs: number;
}

/**
 * The way of any instance to the release log: proposals, reads and pulls.
 */
export class ControlClient {
  private lastLeader: InstanceId | undefined;
  private pulling = false;

  private constructor(private readonly opts: ControlClientOptions) {}

  /**
   * Makes the client and serves pulls of other instances.
   *
   * @param opts - Network, store and replica.
   * @returns The client.
   * @example
   * const control = ControlClient.create(opts);
   */
  static create(opts: ControlClientOptions): ControlClient {
    const {network, store} = opts;
    network.onCall('pullState', (_from, {afterIndex}) =>
      Promise.resolve(store.after(afterIndex)),
    );
    return new ControlClient(opts);
  }

  /**
   * Commits a command through whichever replica leads.
   *
   * @param command - The command.
   * @returns Its result, once this instance has applied it too if it can.
   * @throws DispatchError `notRun` without a leader, `mayHaveRun` when a
   *   leader was lost while it may have committed the command.
   */
  async propose(command: ControlCommand): Promise<ControlResult> {
    const bytes = encodeMessage(command);
    const {clock, leaderTimeoutMs} = this.opts;
    const startedMs = clock.now();
    for (;;) {
      for (const instance of this.searchOrder()) {
        const res = await this.proposeAt(instance, bytes);
        if (res.kind === 'committed') {
          this.lastLeader = instance;
          return decodeMessage(res.result) as ControlResult;
        }
        if (res.kind === 'unknown') {
          throw DispatchError.mayHaveRun(
            'noQuorum',
            `nobody can tell whether it was accepted: ${res.reason}`,
          );
        }
      }
      if (clock.now() - startedMs > leaderTimeoutMs) {
        throw DispatchError.notRun(
          'noQuorum',
          'no leader of the release log can be reached',
        );
      }
      await clock.sleep(RETRY_PAUSE_MS);
    }
  }

  /** Index that holds all that was accepted so far, if a leader confirms it. */
  async readIndex(): Promise<number | undefined> {
    for (const instance of this.searchOrder()) {
      try {
        const res = await this.readAt(instance);
        if (res.kind === 'index') {
          return res.index;
        }
      } catch {
        // Another replica may lead.
      }
    }
    return undefined;
  }

  /** Pulls what a peer has and this instance lacks. */
  async learn(from: InstanceId, heartbeat: Heartbeat): Promise<void> {
    const {store, replica, network} = this.opts;
    if (replica || this.pulling || heartbeat.stateIndex <= store.index) {
      return;
    }
    this.pulling = true;
    try {
      const req = {afterIndex: store.index};
      const res = await network.call(from, 'pullState', req, {
        timeoutMs: READ_TIMEOUT_MS,
      });
      if (res.kind === 'snapshot') {
        store.restore(res.index, res.state);
      } else {
        for (const {index, command} of res.commands) {
          store.apply(index, command);
        }
      }
    } catch {
      // The next heartbeat brings another try.
    } finally {
      this.pulling = false;
    }
  }

  private searchOrder(): InstanceId[] {
    const {replicaInstances} = this.opts;
    return this.lastLeader
      ? [
          this.lastLeader,
          ...replicaInstances.filter(id => id !== this.lastLeader),
        ]
      : [...replicaInstances];
  }

  private async proposeAt(
    instance: InstanceId,
    command: Uint8Array,
  ): Promise<ProposeCall['res']> {
    if (instance === this.opts.network.self) {
      return this.opts.replica!.propose(command);
    }
    try {
      const opts = {timeoutMs: CALL_TIMEOUT_MS};
      return await this.opts.network.call(instance, 'propose', {command}, opts);
    } catch (err) {
      return err instanceof PeerCallError && err.maybeSent
        ? {kind: 'unknown', reason: err.message}
        : {kind: 'notLeader'};
    }
  }

  private readAt(instance: InstanceId): ReturnType<Replica['readIndex']> {
    if (instance === this.opts.network.self) {
      return this.opts.replica!.readIndex();
    }
    return this.opts.network.call(
      instance,
      'readIndex',
      {},
      {timeoutMs: READ_TIMEOUT_MS},
    );
  }
}
