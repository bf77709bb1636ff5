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
import {nextReplicaSet} from '../next_replica_set/next_replica_set.js';
import {ReplicaLog} from '../replica_log/replica_log.js';
import {gatherVotes} from './gather_votes.js';
import {Leadership} from './leadership.js';
import type {ReplicaOptions} from './replica_options.js';
import {sightReplicas} from './sight_replicas.js';

const PROPOSE_TIMEOUT_FACTOR = 5;
/** First campaigns of a life that come early, while no leader is known. */
const EARLY_CAMPAIGNS = 3;
/** Their time-out over the usual one: many round trips and synced writes. */
const EARLY_SHARE = 0.2;
const NO_COMMAND = new Uint8Array();

type Role = ReplicaStatusCall['res']['role'];

/** Entry body without its place in the log. */
type NewEntry =
  | {readonly kind: 'noop'}
  | {readonly kind: 'replicas'; readonly replicas: ReplicaLog['replicas']}
  | {readonly kind: 'command'; readonly command: Uint8Array};

interface Waiter {
  readonly term: number;
  readonly resolve: (res: ProposeCall['res']) => void;
}

/**
 * A replica of the release log.
 *
 * @description Raft (Ongaro, 2014) with pre-vote, check-quorum, learners and
 * one-voter-at-a-time changes. Changes of durable state run one at a time;
 * a response leaves only after what it promises is synced.
 */
export class Replica {
  private readonly serial = new PQueue({concurrency: 1});
  private readonly stopping = new AbortController();
  private readonly waiters = new Map<number, Waiter>();
  private role: Role = 'follower';
  private leader: ReplicaId | undefined;
  private leadership: Leadership | undefined;
  private lastContactMs: number;
  private applied = 0;

  private constructor(
    readonly opts: ReplicaOptions,
    readonly log: ReplicaLog,
  ) {
    this.lastContactMs = opts.clock.now();
  }

  /**
   * Opens the replica's disk and takes over the log's messages.
   *
   * @param opts - Network, clock, disk and state machine.
   * @returns The replica, not started; its committed state is applied.
   * @throws JournalCorruptError when the journal is damaged.
   * @example
   * const replica = await Replica.create(opts);
   * replica.start();
   */
  static async create(opts: ReplicaOptions): Promise<Replica> {
    const journal = await Journal.create(opts.disk, opts.makeReplicaId);
    if (journal.cutBytes > 0) {
      opts.log.emit('logTailCut', {bytes: journal.cutBytes});
    }
    const replica = new Replica(opts, ReplicaLog.create(journal));
    replica.restore();
    replica.applyCommitted();
    const {network} = opts;
    network.onCall('vote', (_from, req) =>
      replica.serialize(() => replica.onVote(req)),
    );
    network.onCall('append', (_from, req) =>
      replica.serialize(() => replica.onAppend(req)),
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
    await this.serial.onIdle();
  }

  get isLeader(): boolean {
    return this.role === 'leader';
  }

  /** Milliseconds since this leader was last confirmed; infinite for others. */
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
   * Commits a command, when this replica leads.
   *
   * @param command - Command for the state machine.
   * @returns Its result, or that nobody can tell whether it was committed.
   */
  async propose(command: Uint8Array): Promise<ProposeCall['res']> {
    const leadership = this.leadership;
    if (!leadership) {
      return {kind: 'notLeader'};
    }
    const done = new AbortController();
    const timeoutMs = PROPOSE_TIMEOUT_FACTOR * this.opts.electionTimeoutMs;
    const late = this.opts.clock
      .sleep(timeoutMs, done.signal)
      .then((): ProposeCall['res'] => ({
        kind: 'unknown',
        reason: 'no majority in time',
      }));
    const committed = new Promise<ProposeCall['res']>(resolve => {
      void this.lead(leadership, {kind: 'command', command}, resolve);
    });
    const res = await Promise.race([committed, late]);
    done.abort();
    return res;
  }

  /**
   * Gives an index that holds all that was accepted before the call.
   *
   * @returns The index, or that this replica doesn't lead.
   */
  async readIndex(): Promise<ReadIndexCall['res']> {
    const leadership = this.leadership;
    if (!leadership || this.log.commitIndex < leadership.firstIndex) {
      return {kind: 'notLeader'};
    }
    const index = this.log.commitIndex;
    return (await leadership.confirm())
      ? {kind: 'index', index}
      : {kind: 'notLeader'};
  }

  /** Appends an entry as leader. */
  private async lead(
    leadership: Leadership,
    body: NewEntry,
    resolve: (res: ProposeCall['res']) => void,
  ): Promise<void> {
    await this.serialize(async () => {
      if (leadership.isOver) {
        resolve({kind: 'notLeader'});
        return;
      }
      const index = this.log.lastIndex + 1;
      const entry = {...body, index, term: leadership.term} as LogEntry;
      try {
        await this.log.append([entry]);
      } catch (err) {
        this.diskFailed(err);
        resolve({kind: 'unknown', reason: (err as Error).message});
        return;
      }
      this.waiters.set(index, {term: leadership.term, resolve});
      leadership.wake();
    });
  }

  private async onVote(req: VoteCall['req']): Promise<VoteCall['res']> {
    const {log} = this;
    const no = {term: log.term, granted: false};
    if (req.to !== log.replicaId || this.role === 'failed') {
      return no;
    }
    const quietMs = this.opts.clock.now() - this.lastContactMs;
    const hasLeader =
      this.role === 'leader' || quietMs < this.opts.electionTimeoutMs;
    if (req.term < log.term || (hasLeader && this.leader !== undefined)) {
      return no;
    }
    const isComplete = log.isUpToDate(req.lastTerm, req.lastIndex);
    if (req.pre) {
      return {term: log.term, granted: isComplete && req.term > log.term};
    }
    const hasVoted =
      req.term === log.term &&
      log.votedFor !== null &&
      log.votedFor !== req.candidate;
    const granted = isComplete && !hasVoted;
    try {
      if (granted || req.term > log.term) {
        await log.setVote(req.term, granted ? req.candidate : null);
        this.follow(undefined);
      }
    } catch (err) {
      this.diskFailed(err);
      throw err;
    }
    if (granted) {
      this.lastContactMs = this.opts.clock.now();
    }
    return {term: log.term, granted};
  }

  private async onAppend(req: AppendCall['req']): Promise<AppendCall['res']> {
    const {log} = this;
    const no = {term: log.term, ok: false, matchIndex: log.lastIndex};
    if (
      req.to !== log.replicaId ||
      this.role === 'failed' ||
      req.term < log.term
    ) {
      return no;
    }
    try {
      if (req.term > log.term) {
        await log.setVote(req.term, null);
      }
      this.follow(req.leader);
      this.lastContactMs = this.opts.clock.now();
      if (req.snapshot && req.snapshot.index > log.commitIndex) {
        await log.install(req.snapshot);
        this.restore();
      }
      if (!this.matches(req)) {
        const matchIndex = Math.min(log.lastIndex, req.prevIndex - 1);
        return {
          term: log.term,
          ok: false,
          matchIndex: Math.max(log.commitIndex, matchIndex),
        };
      }
      await log.append(this.unknownEntries(req));
      const matchIndex = req.prevIndex + req.entries.length;
      await this.commit(Math.min(req.commitIndex, matchIndex));
      return {term: log.term, ok: true, matchIndex};
    } catch (err) {
      this.diskFailed(err);
      throw err;
    }
  }

  private matches(req: AppendCall['req']): boolean {
    return (
      req.prevIndex <= this.log.snapshot.index ||
      this.log.termAt(req.prevIndex) === req.prevTerm
    );
  }

  /** Entries that this log doesn't have, from the first that differs on. */
  private unknownEntries(req: AppendCall['req']): readonly LogEntry[] {
    const first = req.entries.findIndex(
      e =>
        e.index > this.log.snapshot.index &&
        this.log.termAt(e.index) !== e.term,
    );
    return first < 0 ? [] : req.entries.slice(first);
  }

  /**
   * Forms a new log, when this replica is blank.
   *
   * @param req - First members.
   * @returns Whether the log has these first members now.
   */
  form(req: FormCall['req']): Promise<FormCall['res']> {
    return this.serialize(() => this.onForm(req));
  }

  private async onForm(req: FormCall['req']): Promise<FormCall['res']> {
    const {log} = this;
    const isIn = req.replicas.voters.some(
      ref => ref.replicaId === log.replicaId,
    );
    if (!isIn) {
      return {ok: false, reason: 'this replica is not among the members'};
    }
    if (!log.isBlank) {
      const same =
        JSON.stringify(log.replicasAt(1)) === JSON.stringify(req.replicas);
      return {
        ok: same || log.lastIndex > 1,
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
    let early = EARLY_CAMPAIGNS;
    while (!this.stopping.signal.aborted) {
      // Pre-votes keep an early campaign from disturbing a leader.
      const isEarly = this.leader === undefined && early > 0;
      const share = isEarly ? EARLY_SHARE : 1;
      const timeoutMs = electionTimeoutMs * share * (1 + random.next());
      const leftMs = this.lastContactMs + timeoutMs - clock.now();
      await clock.sleep(Math.max(1, leftMs), this.stopping.signal);
      const isQuiet = clock.now() - this.lastContactMs >= timeoutMs;
      if (!this.stopping.signal.aborted && isQuiet && this.mayCampaign()) {
        early -= isEarly ? 1 : 0;
        await this.campaign();
      } else if (this.role === 'leader' || isQuiet) {
        // Whoever may not campaign waits a time-out again.
        this.lastContactMs = clock.now();
      }
    }
  }

  private mayCampaign(): boolean {
    return this.isVoter() && this.role !== 'leader' && this.role !== 'failed';
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
    const term = await this.serialize(() => this.openTerm());
    if (term !== undefined && (await this.gatherVotes(term, false))) {
      await this.serialize(() => this.becomeLeader(term));
    }
  }

  private async openTerm(): Promise<number | undefined> {
    const {log} = this;
    if (this.role !== 'candidate') {
      return undefined;
    }
    try {
      await log.setVote(log.term + 1, log.replicaId);
      return log.term;
    } catch (err) {
      this.diskFailed(err);
      return undefined;
    }
  }

  private gatherVotes(term: number, pre: boolean): Promise<boolean> {
    const onHigherTerm = (higher: number): Promise<void> =>
      this.serialize(() => this.adoptTerm(higher));
    return gatherVotes(this.opts, this.log, {term, pre, onHigherTerm});
  }

  private async adoptTerm(term: number): Promise<void> {
    if (term <= this.log.term) {
      return;
    }
    try {
      await this.log.setVote(term, null);
      this.follow(undefined);
    } catch (err) {
      this.diskFailed(err);
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
        committed: index => void this.serialize(() => this.leaderCommit(index)),
        deposed: newTerm =>
          void this.serialize(() => this.deposed(leadership, newTerm)),
      },
      term,
    );
    leadership.firstIndex = this.log.lastIndex + 1;
    this.leadership = leadership;
    this.setRole('leader', this.log.replicaId);
    void this.lead(leadership, {kind: 'noop'}, () => undefined);
    void this.memberLoop(leadership);
  }

  private async leaderCommit(index: number): Promise<void> {
    if (!this.leadership || index <= this.log.commitIndex) {
      return;
    }
    try {
      await this.commit(index);
      this.leadership.wake();
    } catch (err) {
      this.diskFailed(err);
    }
  }

  private async deposed(leadership: Leadership, term: number): Promise<void> {
    if (this.leadership !== leadership) {
      return;
    }
    this.follow(undefined);
    this.lastContactMs = this.opts.clock.now();
    await this.adoptTerm(term);
  }

  /** Brings the members in line with the disks that instances have. */
  private async memberLoop(leadership: Leadership): Promise<void> {
    const {clock, electionTimeoutMs} = this.opts;
    while (!leadership.isOver) {
      await clock.sleep(electionTimeoutMs / 2, leadership.endSignal);
      if (leadership.isOver || !this.areMembersSettled(leadership)) {
        continue;
      }
      const seen = await sightReplicas(this.opts);
      const isCaughtUp = (id: ReplicaId): boolean =>
        leadership.matchOf(id) >= this.log.commitIndex;
      const next = nextReplicaSet(this.log.replicas, seen, isCaughtUp);
      if (next && !leadership.isOver && this.areMembersSettled(leadership)) {
        this.opts.log.emit('replicaSet', {...next});
        await this.lead(
          leadership,
          {kind: 'replicas', replicas: next},
          () => undefined,
        );
      }
    }
  }

  /** Whether the last change of the members is committed, in this term too. */
  private areMembersSettled(leadership: Leadership): boolean {
    const {commitIndex, replicasIndex} = this.log;
    return commitIndex >= leadership.firstIndex && commitIndex >= replicasIndex;
  }

  /** Records that entries are committed, then applies them. */
  private async commit(index: number): Promise<void> {
    if (index <= this.log.commitIndex) {
      return;
    }
    // Synced before it is served, so that a restart never serves less.
    await this.log.setCommit(index);
    this.applyCommitted();
    await this.compactIfLong();
  }

  private applyCommitted(): void {
    while (this.applied < this.log.commitIndex) {
      const entry = this.log.entryAt(this.applied + 1)!;
      this.applied = entry.index;
      const command = entry.kind === 'command' ? entry.command : NO_COMMAND;
      const result = this.opts.apply(entry.index, command);
      const waiter = this.waiters.get(entry.index);
      this.waiters.delete(entry.index);
      waiter?.resolve(
        waiter.term === entry.term
          ? {kind: 'committed', index: entry.index, result}
          : {kind: 'unknown', reason: 'another leader took over'},
      );
    }
  }

  private async compactIfLong(): Promise<void> {
    const {log, opts} = this;
    if (log.length < opts.compactAfter) {
      return;
    }
    const index = this.applied;
    const replicas = log.replicasAt(index);
    const term = log.termAt(index)!;
    await log.compact({index, term, replicas, state: opts.serialize()});
    opts.log.emit('logCompacted', {index});
  }

  private restore(): void {
    const {snapshot} = this.log;
    if (snapshot.index > this.applied) {
      this.opts.restore(snapshot.index, snapshot.state);
      this.applied = snapshot.index;
      for (const [index, waiter] of this.waiters) {
        if (index <= snapshot.index) {
          this.waiters.delete(index);
          waiter.resolve({
            kind: 'unknown',
            reason: 'a snapshot took its place',
          });
        }
      }
    }
  }

  private follow(leader: ReplicaId | undefined): void {
    this.endLeadership();
    this.setRole('follower', leader);
  }

  private endLeadership(): void {
    this.leadership?.end();
    this.leadership = undefined;
  }

  private setRole(role: Role, leader: ReplicaId | undefined): void {
    if (role !== this.role || leader !== this.leader) {
      this.opts.log.emit('replicaRole', {role, leader, term: this.log.term});
    }
    this.role = role;
    this.leader = leader;
  }

  private diskFailed(err: unknown): void {
    if (err instanceof JournalAppendError && err.undone) {
      this.opts.log.emit('replicaAppendFailed', {err: err.message});
      if (this.role === 'leader') {
        this.follow(undefined);
      }
      return;
    }
    this.endLeadership();
    this.setRole('failed', undefined);
    this.opts.log.emit('replicaFailed', {err: (err as Error).message});
  }

  private serialize<T>(task: () => Promise<T>): Promise<T> {
    return this.serial.add(task) as Promise<T>;
  }
}
