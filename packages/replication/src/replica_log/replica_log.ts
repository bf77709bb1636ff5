import type {
  LogEntry,
  LogSnapshot,
  ReplicaId,
  ReplicaSet,
} from '@papayarun/protocol';
import type {Journal} from '../journal/journal.js';
import type {JournalRecord} from '../journal/journal_record.js';

const NO_REPLICAS: ReplicaSet = {voters: [], learners: []};
const EMPTY_SNAPSHOT: LogSnapshot = {
  index: 0,
  term: 0,
  replicas: NO_REPLICAS,
  state: new Uint8Array(),
};

/**
 * Term, vote, entries, commit index and snapshot of a replica, in memory and
 * on disk.
 *
 * @description Memory changes only after the journal has synced the change.
 */
export class ReplicaLog {
  replicaId = '' as ReplicaId;
  term = 0;
  votedFor: ReplicaId | null = null;
  commitIndex = 0;
  snapshot = EMPTY_SNAPSHOT;
  private entries: LogEntry[] = [];

  private constructor(private readonly journal: Journal) {}

  /**
   * Rebuilds the log from the records of a journal.
   *
   * @param journal - Opened journal.
   * @returns The log.
   * @example
   * const log = ReplicaLog.create(await Journal.create(disk, makeId));
   */
  static create(journal: Journal): ReplicaLog {
    const log = new ReplicaLog(journal);
    for (const record of journal.records) {
      log.applyRecord(record);
    }
    return log;
  }

  get lastIndex(): number {
    return this.snapshot.index + this.entries.length;
  }

  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.snapshot.term;
  }

  get isBlank(): boolean {
    return this.lastIndex === 0;
  }

  /** Entries held in memory after the snapshot. */
  get length(): number {
    return this.entries.length;
  }

  /** Size of the journal beyond its snapshot, in bytes. */
  get bytesAfterSnapshot(): number {
    return this.journal.sizeBytes - this.snapshot.state.length;
  }

  /** Members by the newest membership entry, committed or not. */
  get replicas(): ReplicaSet {
    return this.lastReplicasEntry()?.replicas ?? this.snapshot.replicas;
  }

  /** Index of the newest membership entry, or of the snapshot if there is none. */
  get replicasIndex(): number {
    return this.lastReplicasEntry()?.index ?? this.snapshot.index;
  }

  /** Term of an entry, or undefined when the log doesn't hold the entry. */
  termAt(index: number): number | undefined {
    if (index === this.snapshot.index) {
      return this.snapshot.term;
    }
    return this.entries[index - this.snapshot.index - 1]?.term;
  }

  entryAt(index: number): LogEntry | undefined {
    return this.entries[index - this.snapshot.index - 1];
  }

  /** At most `count` entries, starting at an index. */
  slice(fromIndex: number, count: number): LogEntry[] {
    const start = fromIndex - this.snapshot.index - 1;
    return this.entries.slice(start, start + count);
  }

  /** Whether a log with this last entry is at least as up to date as this log. */
  isUpToDate(lastTerm: number, lastIndex: number): boolean {
    return (
      lastTerm > this.lastTerm ||
      (lastTerm === this.lastTerm && lastIndex >= this.lastIndex)
    );
  }

  async setTermAndVote(
    term: number,
    votedFor: ReplicaId | null,
  ): Promise<void> {
    await this.write([{k: 'vote', term, votedFor}]);
  }

  /**
   * Appends entries, after removing those from the index of the first one onwards,
   * and advances the commit index, all in one write.
   *
   * @param entries - The entries; none for a change of the commit index alone.
   * @param commitIndex - Highest index that is known to be committed.
   * @throws JournalAppendError when the disk fails to write them.
   */
  async append(
    entries: readonly LogEntry[],
    commitIndex = this.commitIndex,
  ): Promise<void> {
    const first = entries[0];
    const records: JournalRecord[] = [];
    if (first && first.index <= this.lastIndex) {
      records.push({k: 'cut', index: first.index});
    }
    records.push(...entries.map(entry => ({k: 'entry', entry}) as const));
    if (commitIndex > this.commitIndex) {
      records.push({k: 'commit', index: commitIndex});
    }
    if (records.length > 0) {
      await this.write(records);
    }
  }

  /** Replaces the whole log by a snapshot from the leader. */
  async installSnapshot(snapshot: LogSnapshot): Promise<void> {
    await this.rewrite(snapshot, []);
  }

  /** Replaces the entries up to the snapshot by it and keeps the later ones. */
  async compact(snapshot: LogSnapshot): Promise<void> {
    await this.rewrite(
      snapshot,
      this.slice(snapshot.index + 1, this.entries.length),
    );
  }

  /** Members by the newest membership entry at or before an index. */
  replicasAt(index: number): ReplicaSet {
    const found = this.entries.findLast(
      e => e.kind === 'replicas' && e.index <= index,
    );
    return found?.kind === 'replicas' ? found.replicas : this.snapshot.replicas;
  }

  private async rewrite(
    snapshot: LogSnapshot,
    tail: LogEntry[],
  ): Promise<void> {
    const commit = Math.max(this.commitIndex, snapshot.index);
    await this.journal.replace([
      {k: 'meta', version: 1, replicaId: this.replicaId},
      {k: 'vote', term: this.term, votedFor: this.votedFor},
      {k: 'snapshot', snapshot},
      ...tail.map(entry => ({k: 'entry', entry}) as const),
      {k: 'commit', index: commit},
    ]);
    this.snapshot = snapshot;
    this.entries = tail;
    this.commitIndex = commit;
  }

  private async write(records: readonly JournalRecord[]): Promise<void> {
    await this.journal.append(records);
    for (const record of records) {
      this.applyRecord(record);
    }
  }

  private applyRecord(record: JournalRecord): void {
    switch (record.k) {
      case 'meta':
        this.replicaId = record.replicaId;
        return;
      case 'vote':
        this.term = record.term;
        this.votedFor = record.votedFor;
        return;
      case 'entry':
        this.entries.push(record.entry);
        return;
      case 'cut':
        this.entries.length = record.index - this.snapshot.index - 1;
        return;
      case 'commit':
        this.commitIndex = record.index;
        return;
      case 'snapshot':
        this.snapshot = record.snapshot;
        this.entries = [];
        return;
      default:
        record satisfies never;
    }
  }

  private lastReplicasEntry():
    Extract<LogEntry, {kind: 'replicas'}> | undefined {
    const found = this.entries.findLast(entry => entry.kind === 'replicas');
    return found?.kind === 'replicas' ? found : undefined;
  }
}
