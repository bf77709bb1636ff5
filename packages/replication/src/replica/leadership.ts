import type {AppendCall, ReplicaId, ReplicaRef} from '@papayarun/protocol';
import {isQuorum} from '../quorum/is_quorum.js';
import {quorumValue} from '../quorum/quorum_value.js';
import type {ReplicaLog} from '../replica_log/replica_log.js';
import {APPEND_LIMITS} from './append_limits.js';
import {firstEntriesWithin} from './first_entries_within.js';
import type {ReplicaOptions} from './replica_options.js';

/** Heartbeats that a leader sends per election timeout. */
const HEARTBEATS_PER_TIMEOUT = 4;
/** Election timeouts that a silent member's last acknowledgement is behind the majority's. */
const SILENT_AFTER_TIMEOUTS = 4;
/** Election timeouts without a commit, while entries wait, that make a stall. */
const STALLED_AFTER_TIMEOUTS = 4;

/** Options, log and callbacks of the replica that leads. */
export interface LeadershipContext {
  readonly opts: ReplicaOptions;
  readonly log: ReplicaLog;
  /** Number of entries that wait for their turn to be stored by this replica. */
  queuedEntries(): number;
  /** Called when a majority stores the entries up to an index. */
  onMajority(index: number): void;
  /** Called when a peer has a higher term, or no majority responds. */
  onStepDown(term: number): void;
  /** Called when nothing was committed for long while entries wait, and so on. */
  onStalled(): void;
}

/**
 * One term of a leader. Replicates the log with one task per other replica.
 */
export class Leadership {
  /** Index of the first entry of this term. */
  firstIndex = 0;
  /** Milliseconds for which nothing was committed while entries wait. */
  stalledMs = 0;
  private readonly endController = new AbortController();
  /** Highest index that each replica is known to store. */
  private readonly matchIndexes = new Map<ReplicaId, number>();
  /** Send time of the last append that each replica acknowledged. */
  private readonly lastAckedMs = new Map<ReplicaId, number>();
  /** Replicas that have a running task. */
  private readonly replicatingTo = new Set<ReplicaId>();
  /** Time at which the task of each replica started. */
  private readonly replicatingSinceMs = new Map<ReplicaId, number>();
  /** Interrupts the wait of the tasks for the next heartbeat. */
  private wakeController = new AbortController();
  private readonly startedMs: number;
  /** Commit index and time when the last progress was seen. */
  private progress: {readonly commitIndex: number; readonly ms: number};
  /** Length of the stall, in milliseconds, at which it is told again. */
  private tellStallAtMs: number;

  private constructor(
    private readonly context: LeadershipContext,
    readonly term: number,
  ) {
    const {log, opts} = context;
    this.startedMs = opts.clock.now();
    this.progress = {commitIndex: log.commitIndex, ms: this.startedMs};
    this.tellStallAtMs = this.stallIntervalMs;
  }

  /**
   * Starts a term as leader.
   *
   * @param context - Options, log and callbacks of the replica.
   * @param term - Term that the replica was elected for.
   * @returns The leadership; its replication tasks start with the first `wake`.
   * @example
   * const leadership = Leadership.create(context, term);
   */
  static create(context: LeadershipContext, term: number): Leadership {
    const leadership = new Leadership(context, term);
    void leadership.checkLoop();
    return leadership;
  }

  get isOver(): boolean {
    return this.endController.signal.aborted;
  }

  get endSignal(): AbortSignal {
    return this.endController.signal;
  }

  end(): void {
    this.endController.abort();
    this.wakeController.abort();
  }

  /** Makes all tasks send new entries at once, and starts tasks for new members. */
  wake(): void {
    const {voters, learners} = this.context.log.replicas;
    for (const ref of [...voters, ...learners]) {
      if (
        ref.replicaId !== this.context.log.replicaId &&
        !this.replicatingTo.has(ref.replicaId)
      ) {
        this.replicatingTo.add(ref.replicaId);
        this.replicatingSinceMs.set(
          ref.replicaId,
          this.context.opts.clock.now(),
        );
        void this.replicateLoop(ref);
      }
    }
    this.wakeController.abort();
    this.wakeController = new AbortController();
    this.advanceCommitIndex();
  }

  /** Highest index that a replica is known to store; 0 when none is known. */
  matchIndexOf(id: ReplicaId): number {
    return this.matchIndexes.get(id) ?? 0;
  }

  /**
   * Whether a member has not acknowledged this leader for long. It is compared
   * with the majority, so that no member is silent because this process paused.
   */
  isSilent(id: ReplicaId): boolean {
    const {log, opts} = this.context;
    if (id === log.replicaId) {
      return false;
    }
    const heardMs = Math.max(
      this.lastAckedMs.get(id) ?? this.startedMs,
      this.replicatingSinceMs.get(id) ?? this.startedMs,
    );
    const silentAfterMs = SILENT_AFTER_TIMEOUTS * opts.electionTimeoutMs;
    return this.quorumAckMs() - heardMs > silentAfterMs;
  }

  /** Latest send time, in milliseconds, up to which a majority has acknowledged this leader. */
  quorumAckMs(): number {
    const {log, opts} = this.context;
    return quorumValue(
      log.replicas.voters.map(ref =>
        ref.replicaId === log.replicaId
          ? opts.clock.now()
          : (this.lastAckedMs.get(ref.replicaId) ?? this.startedMs),
      ),
    );
  }

  /** Whether the other voters that are heard are a majority without this one. */
  get isMajorityHeardElsewhere(): boolean {
    const {log, opts} = this.context;
    const {voters} = log.replicas;
    const sinceMs = opts.clock.now() - opts.electionTimeoutMs;
    const heard = voters.filter(
      ref =>
        ref.replicaId !== log.replicaId &&
        (this.lastAckedMs.get(ref.replicaId) ?? -Infinity) >= sinceMs,
    );
    return isQuorum(heard.length, voters.length);
  }

  /**
   * Waits until a majority has acknowledged an append that is sent after the
   * call.
   *
   * @returns Whether a majority did so within the election timeout.
   */
  async confirmLeadership(): Promise<boolean> {
    const {clock, electionTimeoutMs} = this.context.opts;
    const sinceMs = clock.now();
    while (!this.isOver && clock.now() - sinceMs <= electionTimeoutMs) {
      this.wake();
      if (this.isConfirmedSince(sinceMs)) {
        return true;
      }
      await clock.sleep(electionTimeoutMs / 50, this.endController.signal);
    }
    return false;
  }

  private isConfirmedSince(sinceMs: number): boolean {
    const {voters} = this.context.log.replicas;
    const count = voters.filter(
      ref =>
        ref.replicaId === this.context.log.replicaId ||
        (this.lastAckedMs.get(ref.replicaId) ?? -Infinity) >= sinceMs,
    ).length;
    return isQuorum(count, voters.length);
  }

  private async replicateLoop(ref: ReplicaRef): Promise<void> {
    const {opts, log} = this.context;
    const heartbeatIntervalMs = opts.electionTimeoutMs / HEARTBEATS_PER_TIMEOUT;
    let nextIndex = log.lastIndex + 1;
    while (!this.isOver && this.isMember(ref.replicaId)) {
      const wakeSignal = this.wakeController.signal;
      const sentMs = opts.clock.now();
      const res = await this.send(ref, nextIndex);
      if (this.isOver) {
        return;
      }
      if (res && res.term > this.term) {
        this.context.onStepDown(res.term);
        return;
      }
      if (res?.ok) {
        this.lastAckedMs.set(ref.replicaId, sentMs);
        this.matchIndexes.set(ref.replicaId, res.matchIndex);
        nextIndex = res.matchIndex + 1;
        this.advanceCommitIndex();
      } else if (res) {
        const previousNextIndex = nextIndex;
        nextIndex = Math.max(1, Math.min(nextIndex - 1, res.matchIndex + 1));
        if (nextIndex < previousNextIndex) {
          continue;
        }
      }
      if (!res?.ok) {
        await opts.clock.sleep(heartbeatIntervalMs, this.endController.signal);
      } else if (nextIndex > log.lastIndex) {
        await opts.clock.sleep(heartbeatIntervalMs, wakeSignal);
      }
    }
    this.replicatingTo.delete(ref.replicaId);
  }

  private async send(
    ref: ReplicaRef,
    nextIndex: number,
  ): Promise<AppendCall['res'] | undefined> {
    const {opts, log} = this.context;
    const needsSnapshot = nextIndex <= log.snapshot.index;
    const prevIndex = needsSnapshot ? log.snapshot.index : nextIndex - 1;
    const entries = firstEntriesWithin(
      log.slice(prevIndex + 1, APPEND_LIMITS.maxEntries),
      APPEND_LIMITS.maxBytes,
    );
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
        {timeoutMs: opts.electionTimeoutMs, signal: this.endController.signal},
      );
    } catch {
      return undefined;
    }
  }

  /** Commits the entries that a majority stores, if the last of them is of this term. */
  private advanceCommitIndex(): void {
    const {log} = this.context;
    const index = quorumValue(
      log.replicas.voters.map(ref =>
        ref.replicaId === log.replicaId
          ? log.lastIndex
          : this.matchIndexOf(ref.replicaId),
      ),
    );
    if (index > log.commitIndex && log.termAt(index) === this.term) {
      this.context.onMajority(index);
    }
  }

  /**
   * Steps down when no majority has responded for an election timeout, and tells
   * when nothing is committed.
   */
  private async checkLoop(): Promise<void> {
    const {clock, electionTimeoutMs} = this.context.opts;
    while (!this.isOver) {
      await clock.sleep(
        electionTimeoutMs / HEARTBEATS_PER_TIMEOUT,
        this.endController.signal,
      );
      if (
        !this.isOver &&
        clock.now() - this.quorumAckMs() > electionTimeoutMs
      ) {
        this.context.onStepDown(this.term);
        return;
      }
      this.checkProgress();
    }
  }

  /** Measures for how long nothing was committed, and tells it at intervals. */
  private checkProgress(): void {
    const {log, opts, queuedEntries} = this.context;
    const {commitIndex, lastIndex} = log;
    const nowMs = opts.clock.now();
    const isWaiting = queuedEntries() > 0 || lastIndex > commitIndex;
    if (!isWaiting || commitIndex > this.progress.commitIndex) {
      this.progress = {commitIndex, ms: nowMs};
      this.tellStallAtMs = this.stallIntervalMs;
    }
    this.stalledMs = nowMs - this.progress.ms;
    if (!this.isOver && this.stalledMs >= this.tellStallAtMs) {
      this.tellStallAtMs = this.stalledMs + this.stallIntervalMs;
      this.context.onStalled();
    }
  }

  private get stallIntervalMs(): number {
    return STALLED_AFTER_TIMEOUTS * this.context.opts.electionTimeoutMs;
  }

  private isMember(id: ReplicaId): boolean {
    const {voters, learners} = this.context.log.replicas;
    return [...voters, ...learners].some(ref => ref.replicaId === id);
  }
}
