import type {
  Clock,
  Heartbeat,
  InstanceId,
  PeerNetwork,
  ProposeCall,
  Verdict,
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

const PROPOSE_TIMEOUT_MS = 6_000;
const QUERY_TIMEOUT_MS = 2_000;
const RETRY_DELAY_MS = 100;

/**
 * How a proposal ended: `error` is any failure that is no refusal, such as a command
 * that could not be applied.
 */
export type ProposalResult = 'committed' | Verdict['kind'] | 'error';

/**
 * Options of the control client.
 */
export interface ControlClientOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly store: ControlStore;
  readonly replica: Replica | undefined;
  readonly replicaInstances: readonly InstanceId[];
  /** Longest search for the leader, in milliseconds. */
  readonly leaderTimeoutMs: number;
  /** Told of the end of each proposal. */
  readonly onProposalEnd?: (result: ProposalResult) => void;
}

/**
 * Client of the release log for all instances: proposes commands, confirms read
 * indices and pulls missing state.
 */
export class ControlClient {
  private lastLeader: InstanceId | undefined;
  private isPulling = false;

  private constructor(private readonly opts: ControlClientOptions) {}

  /**
   * Creates the client and serves `pullState` calls of peers.
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
   * Commits a command through the replica that leads.
   *
   * @param command - The command.
   * @param signal - Aborts when the command is no longer wanted; it may have been
   *   sent to a leader by then.
   * @returns Result of the command; if this instance leads, it has applied the
   *   command too.
   * @throws DispatchError `notRun` when no leader is reachable or it refuses the
   *   command, since it could not be committed in time, `mayHaveRun`
   *   when a leader was lost that may have committed the command.
   */
  async propose(
    command: ControlCommand,
    signal?: AbortSignal,
  ): Promise<ControlResult> {
    try {
      const result = await this.commit(command, signal);
      this.opts.onProposalEnd?.('committed');
      return result;
    } catch (err) {
      this.opts.onProposalEnd?.(
        err instanceof DispatchError ? err.refusal.verdict.kind : 'error',
      );
      throw err;
    }
  }

  private async commit(
    command: ControlCommand,
    signal: AbortSignal | undefined,
  ): Promise<ControlResult> {
    const bytes = encodeMessage(command);
    const {clock, leaderTimeoutMs} = this.opts;
    const startedMs = clock.now();
    for (;;) {
      for (const instance of this.leaderCandidates()) {
        const res = await this.proposeTo(instance, bytes);
        if (res.kind === 'committed') {
          this.lastLeader = instance;
          return decodeMessage(res.result) as ControlResult;
        }
        if (res.kind === 'refused') {
          this.lastLeader = instance;
          throw DispatchError.notRun(
            'queueFull',
            `the leader of the release log refused the command: ${res.reason}`,
          );
        }
        if (res.kind === 'unknown') {
          throw DispatchError.mayHaveRun(
            'noQuorum',
            `it is unknown whether the command was committed: ${res.reason}`,
          );
        }
      }
      if (clock.now() - startedMs > leaderTimeoutMs) {
        throw DispatchError.notRun(
          'noQuorum',
          'no leader of the release log is reachable',
        );
      }
      await clock.sleep(RETRY_DELAY_MS);
      if (signal?.aborted) {
        throw DispatchError.notRun(
          'cancelled',
          'the sender of the command has left',
        );
      }
    }
  }

  /**
   * Log index that covers all commands committed so far; undefined if no leader
   * confirms one.
   */
  async readIndex(): Promise<number | undefined> {
    for (const instance of this.leaderCandidates()) {
      try {
        const res = await this.requestReadIndex(instance);
        if (res.kind === 'index') {
          return res.index;
        }
      } catch {
        // Another replica may be the leader.
      }
    }
    return undefined;
  }

  /** Pulls the commands or the snapshot that a peer has and this instance lacks. */
  async pullMissingState(
    from: InstanceId,
    heartbeat: Heartbeat,
  ): Promise<void> {
    const {store, replica, network} = this.opts;
    if (replica || this.isPulling || heartbeat.stateIndex <= store.index) {
      return;
    }
    this.isPulling = true;
    try {
      const req = {afterIndex: store.index};
      const res = await network.call(from, 'pullState', req, {
        timeoutMs: QUERY_TIMEOUT_MS,
      });
      if (res.kind === 'snapshot') {
        store.restore(res.index, res.state);
      } else {
        for (const {index, command} of res.commands) {
          store.apply(index, command);
        }
      }
    } catch {
      // Retried on the next heartbeat.
    } finally {
      this.isPulling = false;
    }
  }

  private leaderCandidates(): InstanceId[] {
    const {replicaInstances} = this.opts;
    return this.lastLeader
      ? [
          this.lastLeader,
          ...replicaInstances.filter(id => id !== this.lastLeader),
        ]
      : [...replicaInstances];
  }

  private async proposeTo(
    instance: InstanceId,
    command: Uint8Array,
  ): Promise<ProposeCall['res']> {
    const {network, replica} = this.opts;
    if (instance === network.self) {
      return (await replica?.propose(command)) ?? {kind: 'notLeader'};
    }
    try {
      const opts = {timeoutMs: PROPOSE_TIMEOUT_MS};
      return await network.call(instance, 'propose', {command}, opts);
    } catch (err) {
      return err instanceof PeerCallError && err.mayHaveBeenSent
        ? {kind: 'unknown', reason: err.message}
        : {kind: 'notLeader'};
    }
  }

  private async requestReadIndex(
    instance: InstanceId,
  ): ReturnType<Replica['readIndex']> {
    const {network, replica} = this.opts;
    if (instance === network.self) {
      return (await replica?.readIndex()) ?? {kind: 'notLeader'};
    }
    const opts = {timeoutMs: QUERY_TIMEOUT_MS};
    return network.call(instance, 'readIndex', {}, opts);
  }
}
