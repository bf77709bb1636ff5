import type {
  AppendCall,
  FormCall,
  LogEntry,
  ProposeCall,
  ReadIndexCall,
  ReplicaId,
  ReplicaStatusCall,
  VoteCall,
} from '@papayarun/protocol';
import PQueue from 'p-queue';
import {Journal} from '../journal/journal.js';
import {JournalAppendError} from '../journal/journal_append_error.js';
import type {DiscoveredReplica} from '../next_replica_set/discovered_replica.js';
import {nextReplicaSet} from '../next_replica_set/next_replica_set.js';
import {ReplicaLog} from '../replica_log/replica_log.js';
import type {EntryBody} from './entry_body.js';
import {gatherVotes} from './gather_votes.js';
import {GroupCommit} from './group_commit.js';
import {Leadership} from './leadership.js';
import type {QueuedEntry} from './queued_entry.js';
import type {ReplicaOptions} from './replica_options.js';
import {discoverReplicas} from './discover_replicas.js';

/** Timeout of a proposal as a multiple of the election timeout. */
const PROPOSE_TIMEOUT_FACTOR = 5;
/** Campaigns after a start that use a shorter timeout while no leader is known. */
const EARLY_CAMPAIGNS = 3;
/**
 * Timeout of early campaigns as a fraction of the usual one. It is still long
 * enough for many round trips and synced writes.
 */
const EARLY_TIMEOUT_FRACTION = 0.2;
/** Election timeouts after a compaction that failed until the next one. */
const COMPACT_RETRY_TIMEOUTS = 2;
const EMPTY_COMMAND = new Uint8Array();

type Role = ReplicaStatusCall['res']['role'];

/** Proposal that waits for its entry to be committed. */
interface PendingProposal {
  readonly term: number;
  readonly resolve: (res: ProposeCall['res']) => void;
}

/**
 * A replica of the release log.
 *
 * @description Raft (Ongaro, 2014) with pre-vote, check-quorum, learners and
 * changes of one voter at a time. Changes of durable state run one at a time;
 * a response is sent only after the state that it reports is synced.
 */
export class Replica {
  private readonly taskQueue = new PQueue({concurrency: 1});
  private readonly stopping = new AbortController();
  private readonly pendingProposals = new Map<number, PendingProposal>();
  /** Replicas that are not admitted and have been logged. */
  private readonly refusedReplicas = new Set<ReplicaId>();
  private role: Role = 'follower';
  private leader: ReplicaId | undefined;
  private leadership: Leadership | undefined;
  /** Writes of the current leadership. */
  private groupCommit: GroupCommit | undefined;
  private lastContactMs: number;
  private lastApplied = 0;
  /** Time before which a compaction that failed isn't tried again. */
  private compactNotBeforeMs = 0;
  /** Time at which the running change of durable state began. */
  private changeSinceMs: number | undefined;
  private stallCount = 0;

  private constructor(
    readonly opts: ReplicaOptions,
    readonly log: ReplicaLog,
  ) {
    this.lastContactMs = opts.clock.now();
  }

  /**
   * Opens the replica's disk and registers the handlers of its calls.
   *
   * @param opts - Network, clock, disk and state machine.
   * @returns The replica, not started; its committed entries are applied.
   * @throws JournalCorruptError when the journal is damaged.
   * @example
   * const replica = await Replica.create(opts);
   * replica.start();
   */
  static async create(opts: ReplicaOptions): Promise<Replica> {
    const journal = await Journal.create(opts.disk, opts.makeReplicaId);
    if (journal.truncatedBytes > 0) {
      opts.log.emit('logTailCut', {bytes: journal.truncatedBytes});
    }
    const replica = new Replica(opts, ReplicaLog.create(journal));
    replica.restoreSnapshot();
    replica.applyCommitted();
    const {network} = opts;
    network.onCall('vote', (_from, req) =>
      replica.runExclusive(() => replica.onVote(req)),
    );
    network.onCall('append', (_from, req) =>
      replica.runExclusive(() => replica.onAppend(req)),
    );
    network.onCall('form', (_from, req) => replica.form(req));
    network.onCall('propose', (_from, {command}) => replica.propose(command));
    network.onCall('readIndex', () => replica.readIndex());
    network.onCall('replicaStatus', () => Promise.resolve(replica.status()));
    return replica;
  }

  start(): void {
    void this.electionLoop();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    this.endLeadership();
    await this.taskQueue.onIdle();
  }

  get isLeader(): boolean {
    return this.role === 'leader';
  }

  /**
   * Voters that have not acknowledged this leader for long; 0 when this replica
   * is not the leader.
   */
  get silentVoters(): number {
    const {leadership, log} = this;
    return log.replicas.voters.filter(ref =>
      leadership?.isSilent(ref.replicaId),
    ).length;
  }

  /**
   * Milliseconds for which this leader has committed nothing while entries wait; 0
   * when none waits, or this replica is not the leader.
   */
  get stalledMs(): number {
    return this.leadership?.stalledMs ?? 0;
  }

  /** Times that this replica led and committed nothing for long, since its start. */
  get stalls(): number {
    return this.stallCount;
  }

  /**
   * Milliseconds since a majority last acknowledged this leader; Infinity when
   * this replica is not the leader or has not committed an entry of its term.
   */
  currentAgeMs(): number {
    const {leadership, log, opts} = this;
    if (!leadership || log.commitIndex < leadership.firstIndex) {
      return Infinity;
    }
    return opts.clock.now() - leadership.quorumAckMs();
  }

  status(): ReplicaStatusCall['res'] {
    return {
      replicaId: this.log.replicaId,
      blank: this.log.isBlank,
      voter: this.isVoter(),
      replicas: this.log.replicas,
      role: this.role,
      term: this.log.term,
      commitIndex: this.log.commitIndex,
      stateIndex: this.opts.stateIndex(),
    };
  }

  /**
   * Commits a command if this replica is the leader.
   *
   * @param command - Command for the state machine.
   * @returns The result of the command, `notLeader`, `refused` when it could not
   * be committed in time, or `unknown` when it may or may not be committed.
   * @throws Error when the command could not be applied; once in the log, it
   * would stop all replicas.
   */
  async propose(command: Uint8Array): Promise<ProposeCall['res']> {
    const {groupCommit, leadership} = this;
    if (!leadership || !groupCommit) {
      return {kind: 'notLeader'};
    }
    const problem = this.opts.problemOf(command);
    if (problem !== undefined) {
      this.opts.log.emit('commandRefused', {problem});
      throw new Error(`the command can't be applied: ${problem}`);
    }
    const settled = new AbortController();
    const committed = new Promise<ProposeCall['res']>(resolve => {
      const entry = this.queuedCommand(command, leadership.term, resolve);
      if (!groupCommit.tryAdd(entry)) {
        resolve({kind: 'refused', reason: 'too many changes wait'});
        return;
      }
      void this.opts.clock
        .sleep(this.proposeTimeoutMs, settled.signal)
        .then(() => resolve({kind: 'unknown', reason: 'no majority in time'}));
    });
    const res = await committed;
    settled.abort();
    return res;
  }

  /** Entry of a proposal, which is resolved when it is committed or can't be. */
  private queuedCommand(
    command: Uint8Array,
    term: number,
    resolve: PendingProposal['resolve'],
  ): QueuedEntry {
    return {
      body: {kind: 'command', command},
      onEnd: end => {
        switch (end.kind) {
          case 'stored':
            this.pendingProposals.set(end.index, {term, resolve});
            return;
          case 'notStored':
            resolve({kind: 'notLeader'});
            return;
          case 'failed':
            resolve({kind: 'unknown', reason: end.reason});
            return;
          default:
            end satisfies never;
        }
      },
    };
  }

  /**
   * Returns an index at or after every entry committed before the call.
   *
   * @returns The index, or `notLeader` when a majority does not confirm this
   * replica as the leader.
   */
  async readIndex(): Promise<ReadIndexCall['res']> {
    const leadership = this.leadership;
    if (!leadership || this.log.commitIndex < leadership.firstIndex) {
      return {kind: 'notLeader'};
    }
    const index = this.log.commitIndex;
    return (await leadership.confirmLeadership())
      ? {kind: 'index', index}
      : {kind: 'notLeader'};
  }

  /** Appends an entry of the leader's own; resolves when it is stored, or can't be. */
  private appendAsLeader(body: EntryBody): Promise<void> {
    return new Promise(resolve => {
      if (this.groupCommit) {
        this.groupCommit.add({body, onEnd: () => resolve()});
      } else {
        resolve();
      }
    });
  }

  private async onVote(req: VoteCall['req']): Promise<VoteCall['res']> {
    const {log} = this;
    const rejection = {term: log.term, granted: false};
    if (req.to !== log.replicaId || this.role === 'failed') {
      return rejection;
    }
    const sinceContactMs = this.opts.clock.now() - this.lastContactMs;
    const hasLeader =
      this.role === 'leader' || sinceContactMs < this.opts.electionTimeoutMs;
    if (req.term < log.term || (hasLeader && this.leader !== undefined)) {
      return rejection;
    }
    const isUpToDate = log.isUpToDate(req.lastTerm, req.lastIndex);
    if (req.pre) {
      return {term: log.term, granted: isUpToDate && req.term > log.term};
    }
    const votedForOther =
      req.term === log.term &&
      log.votedFor !== null &&
      log.votedFor !== req.candidate;
    const granted = isUpToDate && !votedForOther;
    try {
      if (granted || req.term > log.term) {
        await log.setTermAndVote(req.term, granted ? req.candidate : null);
        this.becomeFollower(undefined);
      }
    } catch (err) {
      this.handleDiskError(err);
      throw err;
    }
    if (granted) {
      this.lastContactMs = this.opts.clock.now();
    }
    return {term: log.term, granted};
  }

  private async onAppend(req: AppendCall['req']): Promise<AppendCall['res']> {
    const {log} = this;
    const rejection = {term: log.term, ok: false, matchIndex: log.lastIndex};
    if (
      req.to !== log.replicaId ||
      this.role === 'failed' ||
      req.term < log.term
    ) {
      return rejection;
    }
    try {
      if (req.term > log.term) {
        await log.setTermAndVote(req.term, null);
      }
      this.becomeFollower(req.leader);
      this.lastContactMs = this.opts.clock.now();
      if (req.snapshot && req.snapshot.index > log.commitIndex) {
        await log.installSnapshot(req.snapshot);
        this.restoreSnapshot();
      }
      if (!this.matchesPrevEntry(req)) {
        const matchIndex = Math.min(log.lastIndex, req.prevIndex - 1);
        return {
          term: log.term,
          ok: false,
          matchIndex: Math.max(log.commitIndex, matchIndex),
        };
      }
      const matchIndex = req.prevIndex + req.entries.length;
      const commitIndex = Math.min(req.commitIndex, matchIndex);
      await log.append(this.missingEntries(req), commitIndex);
      await this.applyAndCompact();
      return {term: log.term, ok: true, matchIndex};
    } catch (err) {
      this.handleDiskError(err);
      throw err;
    }
  }

  private matchesPrevEntry(req: AppendCall['req']): boolean {
    return (
      req.prevIndex <= this.log.snapshot.index ||
      this.log.termAt(req.prevIndex) === req.prevTerm
    );
  }

  /** Entries of the request from the first that this log lacks or has differently. */
  private missingEntries(req: AppendCall['req']): readonly LogEntry[] {
    const first = req.entries.findIndex(
      e =>
        e.index > this.log.snapshot.index &&
        this.log.termAt(e.index) !== e.term,
    );
    return first < 0 ? [] : req.entries.slice(first);
  }

  /**
   * Forms a new log if the log of this replica is empty.
   *
   * @param req - Initial members.
   * @returns Whether the log is formed: it has these initial members, or already
   * has later entries.
   */
  form(req: FormCall['req']): Promise<FormCall['res']> {
    return this.runExclusive(() => this.onForm(req));
  }

  private async onForm(req: FormCall['req']): Promise<FormCall['res']> {
    const {log} = this;
    const isMember = req.replicas.voters.some(
      ref => ref.replicaId === log.replicaId,
    );
    if (!isMember) {
      return {ok: false, reason: 'this replica is not among the members'};
    }
    if (!log.isBlank) {
      const isSameSet =
        JSON.stringify(log.replicasAt(1)) === JSON.stringify(req.replicas);
      return {
        ok: isSameSet || log.lastIndex > 1,
        reason: 'the log was already formed',
      };
    }
    await log.append([
      {kind: 'replicas', index: 1, term: 0, replicas: req.replicas},
    ]);
    return {ok: true, reason: 'formed'};
  }

  private async electionLoop(): Promise<void> {
    const {clock, random, electionTimeoutMs} = this.opts;
    let earlyCampaignsLeft = EARLY_CAMPAIGNS;
    while (!this.stopping.signal.aborted) {
      // An early campaign starts with pre-votes, so it does not disturb a leader.
      const isEarly = this.leader === undefined && earlyCampaignsLeft > 0;
      const timeoutFraction = isEarly ? EARLY_TIMEOUT_FRACTION : 1;
      const timeoutMs =
        electionTimeoutMs * timeoutFraction * (1 + random.next());
      const remainingMs = this.lastContactMs + timeoutMs - clock.now();
      await clock.sleep(Math.max(1, remainingMs), this.stopping.signal);
      const hasTimedOut = clock.now() - this.lastContactMs >= timeoutMs;
      if (!this.stopping.signal.aborted && hasTimedOut && this.mayCampaign()) {
        earlyCampaignsLeft -= isEarly ? 1 : 0;
        await this.campaign();
      } else if (this.role === 'leader' || hasTimedOut) {
        // A replica that may not campaign restarts its election timer.
        this.lastContactMs = clock.now();
      }
    }
  }

  private mayCampaign(): boolean {
    return (
      this.isVoter() &&
      this.role !== 'leader' &&
      this.role !== 'failed' &&
      // Its vote for itself would be stored only after the others have a leader.
      this.changeMs() <= this.opts.electionTimeoutMs
    );
  }

  private get proposeTimeoutMs(): number {
    return PROPOSE_TIMEOUT_FACTOR * this.opts.electionTimeoutMs;
  }

  /** Milliseconds that the running change of durable state has taken so far. */
  private changeMs(): number {
    const nowMs = this.opts.clock.now();
    return nowMs - (this.changeSinceMs ?? nowMs);
  }

  private isVoter(): boolean {
    const {log} = this;
    return log.replicas.voters.some(ref => ref.replicaId === log.replicaId);
  }

  private async campaign(): Promise<void> {
    this.lastContactMs = this.opts.clock.now();
    this.setRole('candidate', undefined);
    if (!(await this.gatherVotes(this.log.term + 1, true))) {
      return;
    }
    const term = await this.runExclusive(() => this.startTerm());
    if (term !== undefined && (await this.gatherVotes(term, false))) {
      await this.runExclusive(() => this.becomeLeader(term));
    }
  }

  private async startTerm(): Promise<number | undefined> {
    const {log} = this;
    if (this.role !== 'candidate') {
      return undefined;
    }
    try {
      await log.setTermAndVote(log.term + 1, log.replicaId);
      return log.term;
    } catch (err) {
      this.handleDiskError(err);
      return undefined;
    }
  }

  private gatherVotes(term: number, isPreVote: boolean): Promise<boolean> {
    const onHigherTerm = (higherTerm: number): Promise<void> =>
      this.runExclusive(() => this.adoptTerm(higherTerm));
    return gatherVotes(this.opts, this.log, {
      term,
      isPreVote,
      onHigherTerm,
    });
  }

  private async adoptTerm(term: number): Promise<void> {
    if (term <= this.log.term) {
      return;
    }
    try {
      await this.log.setTermAndVote(term, null);
      this.becomeFollower(undefined);
    } catch (err) {
      this.handleDiskError(err);
    }
  }

  private async becomeLeader(term: number): Promise<void> {
    if (
      this.role !== 'candidate' ||
      this.log.term !== term ||
      this.stopping.signal.aborted
    ) {
      return;
    }
    const leadership = Leadership.create(
      {
        opts: this.opts,
        log: this.log,
        queuedEntries: () => groupCommit.queuedEntries,
        onMajority: index => groupCommit.commit(index),
        onStepDown: newTerm => this.stepDown(leadership, newTerm),
        onStalled: () => this.handleStall(leadership),
      },
      term,
    );
    const groupCommit = GroupCommit.create({
      clock: this.opts.clock,
      log: this.log,
      term,
      timeoutMs: this.proposeTimeoutMs,
      runExclusive: change => this.runExclusive(change),
      onWritten: () => this.handleWritten(leadership),
      onFailed: err => this.handleDiskError(err),
    });
    leadership.firstIndex = this.log.lastIndex + 1;
    this.leadership = leadership;
    this.groupCommit = groupCommit;
    this.setRole('leader', this.log.replicaId);
    void this.appendAsLeader({kind: 'noop'});
    void this.membershipChangeLoop(leadership);
  }

  /** Replicates what this leader has stored, and applies what it has committed. */
  private async handleWritten(leadership: Leadership): Promise<void> {
    if (!leadership.isOver) {
      leadership.wake();
    }
    await this.applyAndCompact();
  }

  /** Ends the leadership at once, since the disk may keep a queued task waiting. */
  private stepDown(leadership: Leadership, term: number): void {
    if (this.leadership !== leadership) {
      return;
    }
    this.becomeFollower(undefined);
    this.lastContactMs = this.opts.clock.now();
    void this.runExclusive(() => this.adoptTerm(term));
  }

  /** Logs that this leader commits nothing, and steps down if others can elect. */
  private handleStall(leadership: Leadership): void {
    if (this.leadership !== leadership) {
      return;
    }
    const {log} = this;
    const stepsDown = leadership.isMajorityHeardElsewhere;
    this.stallCount++;
    this.opts.log.emit('leaderStalled', {
      stepsDown,
      stalledMs: Math.round(leadership.stalledMs),
      ownChangeMs: Math.round(this.changeMs()),
      queued: this.groupCommit?.queuedEntries,
      uncommitted: log.lastIndex - log.commitIndex,
    });
    if (stepsDown) {
      this.stepDown(leadership, leadership.term);
    }
  }

  /** Changes the members step by step to match the replicas that instances report. */
  private async membershipChangeLoop(leadership: Leadership): Promise<void> {
    const {clock, electionTimeoutMs} = this.opts;
    while (!leadership.isOver) {
      await clock.sleep(electionTimeoutMs / 2, leadership.endSignal);
      if (leadership.isOver || !this.isMembershipCommitted(leadership)) {
        continue;
      }
      const discovered = await discoverReplicas(this.opts);
      this.logRefusedReplicas(discovered);
      const change = nextReplicaSet(this.log.replicas, discovered, {
        isCaughtUp: id => leadership.matchIndexOf(id) >= this.log.commitIndex,
        isSilent: id => leadership.isSilent(id),
      });
      if (
        change &&
        !leadership.isOver &&
        this.isMembershipCommitted(leadership)
      ) {
        const {kind, replicas} = change;
        this.opts.log.emit('replicaSet', {change: kind, ...replicas});
        await this.appendAsLeader({kind: 'replicas', replicas});
      }
    }
  }

  /**
   * Logs each replica that is a voter by its own log but no member of this one,
   * once. It is not admitted, since its log may be another one.
   */
  private logRefusedReplicas(discovered: readonly DiscoveredReplica[]): void {
    const {voters, learners} = this.log.replicas;
    const memberIds = [...voters, ...learners].map(ref => ref.replicaId);
    for (const {instanceId, replicaId, joinable} of discovered) {
      const isRefused = !joinable && !memberIds.includes(replicaId);
      if (isRefused && !this.refusedReplicas.has(replicaId)) {
        this.refusedReplicas.add(replicaId);
        this.opts.log.emit('replicaRefused', {peer: instanceId, replicaId});
      }
    }
  }

  /** Whether an entry of this term and the last membership change are committed. */
  private isMembershipCommitted(leadership: Leadership): boolean {
    const {commitIndex, replicasIndex} = this.log;
    return commitIndex >= leadership.firstIndex && commitIndex >= replicasIndex;
  }

  /** Applies what was committed by the last write, and compacts a long log. */
  private async applyAndCompact(): Promise<void> {
    if (this.lastApplied < this.log.commitIndex) {
      this.applyCommitted();
      await this.compactIfLong();
    }
  }

  /**
   * Applies the committed entries. The commit index is synced before, so that a
   * restart never serves an older state.
   */
  private applyCommitted(): void {
    while (this.lastApplied < this.log.commitIndex) {
      const entry = this.log.entryAt(this.lastApplied + 1)!;
      this.lastApplied = entry.index;
      const command = entry.kind === 'command' ? entry.command : EMPTY_COMMAND;
      const result = this.opts.apply(entry.index, command);
      const proposal = this.pendingProposals.get(entry.index);
      this.pendingProposals.delete(entry.index);
      proposal?.resolve(
        proposal.term === entry.term
          ? {kind: 'committed', index: entry.index, result}
          : {kind: 'unknown', reason: 'another leader took over'},
      );
    }
  }

  private async compactIfLong(): Promise<void> {
    const {log, opts} = this;
    const nowMs = opts.clock.now();
    const maxBytes = Math.max(
      opts.compactAfterBytes,
      log.snapshot.state.length,
    );
    const isLong =
      log.length >= opts.compactAfterEntries ||
      log.bytesAfterSnapshot >= maxBytes;
    if (!isLong || nowMs < this.compactNotBeforeMs) {
      return;
    }
    const index = this.lastApplied;
    const replicas = log.replicasAt(index);
    const term = log.termAt(index)!;
    const state = opts.serialize();
    try {
      await log.compact({index, term, replicas, state});
    } catch (err) {
      if (!(err instanceof JournalAppendError)) {
        throw err;
      }
      // The change that led here is durable without a compaction.
      this.compactNotBeforeMs =
        nowMs + COMPACT_RETRY_TIMEOUTS * opts.electionTimeoutMs;
      opts.log.emit('compactionFailed', {err: err.message});
      return;
    }
    opts.log.emit('logCompacted', {index});
  }

  private restoreSnapshot(): void {
    const {snapshot} = this.log;
    if (snapshot.index > this.lastApplied) {
      this.opts.restore(snapshot.index, snapshot.state);
      this.lastApplied = snapshot.index;
      for (const [index, proposal] of this.pendingProposals) {
        if (index <= snapshot.index) {
          this.pendingProposals.delete(index);
          proposal.resolve({
            kind: 'unknown',
            reason: 'a snapshot took its place',
          });
        }
      }
    }
  }

  private becomeFollower(leader: ReplicaId | undefined): void {
    this.endLeadership();
    this.setRole('follower', leader);
  }

  private endLeadership(): void {
    this.leadership?.end();
    this.leadership = undefined;
    this.groupCommit?.end();
    this.groupCommit = undefined;
  }

  private setRole(role: Role, leader: ReplicaId | undefined): void {
    if (role !== this.role || leader !== this.leader) {
      this.opts.log.emit('replicaRole', {role, leader, term: this.log.term});
    }
    this.role = role;
    this.leader = leader;
  }

  private handleDiskError(err: unknown): void {
    if (err instanceof JournalAppendError) {
      this.opts.log.emit('replicaAppendFailed', {err: err.message});
      if (this.role === 'leader') {
        this.becomeFollower(undefined);
      }
      return;
    }
    this.endLeadership();
    this.setRole('failed', undefined);
    this.opts.log.emit('replicaFailed', {err: (err as Error).message});
  }

  private runExclusive<T>(task: () => Promise<T>): Promise<T> {
    return this.taskQueue.add(async () => {
      this.changeSinceMs = this.opts.clock.now();
      try {
        return await task();
      } finally {
        this.changeSinceMs = undefined;
      }
    }) as Promise<T>;
  }
}
