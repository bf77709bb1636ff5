import type {
  AppendCall,
  LogEntry,
  ReplicaId,
  ReplicaRef,
} from '@papayarun/protocol';
import {isQuorum} from '../quorum/is_quorum.js';
import {quorumValue} from '../quorum/quorum_value.js';
import type {ReplicaLog} from '../replica_log/replica_log.js';
import type {ReplicaOptions} from './replica_options.js';

const MAX_ENTRIES = 128;
const HEARTBEATS_PER_TIMEOUT = 4;

/** What a leadership asks of its replica. */
export interface LeadershipHost {
  readonly opts: ReplicaOptions;
  readonly log: ReplicaLog;
  /** Called when a majority has entries up to an index. */
  committed(index: number): void;
  /** Called when a higher term was seen, or no majority answers. */
  deposed(term: number): void;
}

/**
 * One term of a leader: a task for each other replica sends it the log.
 */
export class Leadership {
  /** Index of the entry that opened this term. */
  firstIndex = 0;
  private readonly ending = new AbortController();
  private readonly match = new Map<ReplicaId, number>();
  private readonly ackedMs = new Map<ReplicaId, number>();
  private readonly loops = new Set<ReplicaId>();
  private waker = new AbortController();
  private readonly startedMs: number;

  private constructor(
    private readonly host: LeadershipHost,
    readonly term: number,
  ) {
    this.startedMs = host.opts.clock.now();
  }

  /**
   * Begins a leadership.
   *
   * @param host - The replica.
   * @param term - Term it was elected for.
   * @returns The leadership; its tasks start with the first `wake`.
   * @example
   * const leadership = Leadership.create(host, term);
   */
  static create(host: LeadershipHost, term: number): Leadership {
    const leadership = new Leadership(host, term);
    void leadership.quorumLoop();
    return leadership;
  }

  get isOver(): boolean {
    return this.ending.signal.aborted;
  }

  get endSignal(): AbortSignal {
    return this.ending.signal;
  }

  end(): void {
    this.ending.abort();
    this.waker.abort();
  }

  /** Lets all tasks send what is new, and begins tasks for new members. */
  wake(): void {
    const {voters, learners} = this.host.log.replicas;
    for (const ref of [...voters, ...learners]) {
      if (
        ref.replicaId !== this.host.log.replicaId &&
        !this.loops.has(ref.replicaId)
      ) {
        this.loops.add(ref.replicaId);
        void this.replicateLoop(ref);
      }
    }
    this.waker.abort();
    this.waker = new AbortController();
    this.advance();
  }

  /** Highest index that a replica is known to have. */
  matchOf(id: ReplicaId): number {
    return this.match.get(id) ?? 0;
  }

  /** Time at which a majority was last known to follow, in milliseconds. */
  quorumAckMs(): number {
    const {log, opts} = this.host;
    return quorumValue(
      log.replicas.voters.map(ref =>
        ref.replicaId === log.replicaId
          ? opts.clock.now()
          : (this.ackedMs.get(ref.replicaId) ?? this.startedMs),
      ),
    );
  }

  /**
   * Waits until a majority has confirmed this leader after now.
   *
   * @returns Whether it did, within the election timeout.
   */
  async confirm(): Promise<boolean> {
    const {clock, electionTimeoutMs} = this.host.opts;
    const askedMs = clock.now();
    while (!this.isOver && clock.now() - askedMs <= electionTimeoutMs) {
      this.wake();
      if (this.confirmedSince(askedMs)) {
        return true;
      }
      await clock.sleep(electionTimeoutMs / 50, this.ending.signal);
    }
    return false;
  }

  private confirmedSince(askedMs: number): boolean {
    const {voters} = this.host.log.replicas;
    const count = voters.filter(
      ref =>
        ref.replicaId === this.host.log.replicaId ||
        (this.ackedMs.get(ref.replicaId) ?? -Infinity) >= askedMs,
    ).length;
    return isQuorum(count, voters.length);
  }

  private async replicateLoop(ref: ReplicaRef): Promise<void> {
    const {opts, log} = this.host;
    const idleMs = opts.electionTimeoutMs / HEARTBEATS_PER_TIMEOUT;
    let next = log.lastIndex + 1;
    while (!this.isOver && this.isMember(ref.replicaId)) {
      const waker = this.waker.signal;
      const sentMs = opts.clock.now();
      const res = await this.send(ref, next);
      if (this.isOver) {
        return;
      }
      if (res && res.term > this.term) {
        this.host.deposed(res.term);
        return;
      }
      if (res?.ok) {
        this.ackedMs.set(ref.replicaId, sentMs);
        this.match.set(ref.replicaId, res.matchIndex);
        next = res.matchIndex + 1;
        this.advance();
      } else if (res) {
        const before = next;
        next = Math.max(1, Math.min(next - 1, res.matchIndex + 1));
        if (next < before) {
          continue;
        }
      }
      if (!res?.ok) {
        await opts.clock.sleep(idleMs, this.ending.signal);
      } else if (next > log.lastIndex) {
        await opts.clock.sleep(idleMs, waker);
      }
    }
    this.loops.delete(ref.replicaId);
  }

  private async send(
    ref: ReplicaRef,
    next: number,
  ): Promise<AppendCall['res'] | undefined> {
    const {opts, log} = this.host;
    const needsSnapshot = next <= log.snapshot.index;
    const prevIndex = needsSnapshot ? log.snapshot.index : next - 1;
    const entries: LogEntry[] = log.slice(prevIndex + 1, MAX_ENTRIES);
    try {
      return await opts.network.call(
        ref.instanceId,
        'append',
        {
          to: ref.replicaId,
          leader: log.replicaId,
          term: this.term,
          prevIndex,
          prevTerm: log.termAt(prevIndex)!,
          entries,
          commitIndex: log.commitIndex,
          snapshot: needsSnapshot ? log.snapshot : undefined,
        },
        {timeoutMs: opts.electionTimeoutMs, signal: this.ending.signal},
      );
    } catch {
      return undefined;
    }
  }

  /** Commits what a majority has, if the newest of it is of this term. */
  private advance(): void {
    const {log} = this.host;
    const index = quorumValue(
      log.replicas.voters.map(ref =>
        ref.replicaId === log.replicaId
          ? log.lastIndex
          : this.matchOf(ref.replicaId),
      ),
    );
    if (index > log.commitIndex && log.termAt(index) === this.term) {
      this.host.committed(index);
    }
  }

  /** Gives up when no majority has answered for an election timeout. */
  private async quorumLoop(): Promise<void> {
    const {clock, electionTimeoutMs} = this.host.opts;
    while (!this.isOver) {
      await clock.sleep(
        electionTimeoutMs / HEARTBEATS_PER_TIMEOUT,
        this.ending.signal,
      );
      if (
        !this.isOver &&
        clock.now() - this.quorumAckMs() > electionTimeoutMs
      ) {
        this.host.deposed(this.term);
        return;
      }
    }
  }

  private isMember(id: ReplicaId): boolean {
    const {voters, learners} = this.host.log.replicas;
    return [...voters, ...learners].some(ref => ref.replicaId === id);
  }
}
