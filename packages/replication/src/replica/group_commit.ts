import type {LogEntry} from '@papayarun/protocol';
import {APPEND_LIMITS} from './append_limits.js';
import {firstEntriesWithin} from './first_entries_within.js';
import type {GroupCommitOptions} from './group_commit_options.js';
import {mayQueue} from './may_queue.js';
import type {QueuedEntry} from './queued_entry.js';

/**
 * Writes of a leader: what arrives during one write, entries as well as a new
 * commit index, goes into the next one together.
 */
export class GroupCommit {
  private queue: QueuedEntry[] = [];
  private queuedBytes = 0;
  /** Highest index that a majority stores. */
  private majorityIndex = 0;
  private isWriteDue = false;
  private isOver = false;
  private lastWriteMs = 0;
  /** Time at which the write in progress began. */
  private writeSinceMs: number | undefined;

  private constructor(private readonly opts: GroupCommitOptions) {}

  /**
   * Creates the writes of a leader.
   *
   * @param opts - Clock, log and callbacks.
   * @returns The writes, none of them due.
   * @example
   * const writes = GroupCommit.create(opts);
   */
  static create(opts: GroupCommitOptions): GroupCommit {
    return new GroupCommit(opts);
  }

  /** Number of entries that wait for a write. */
  get queuedEntries(): number {
    return this.queue.length;
  }

  /**
   * Adds an entry to the next write, unless it can't be committed in time.
   *
   * @param entry - The entry.
   * @returns False if it was refused; its callback isn't called then.
   */
  tryAdd(entry: QueuedEntry): boolean {
    const isAllowed = mayQueue({
      entries: this.queue.length + 1,
      bytes: this.queuedBytes + sizeOf(entry),
      writeMs: this.writeMs,
      timeoutMs: this.opts.timeoutMs,
    });
    if (isAllowed) {
      this.add(entry);
    }
    return isAllowed;
  }

  /** Adds an entry to the next write. */
  add(entry: QueuedEntry): void {
    if (this.isOver) {
      entry.onEnd({kind: 'notStored'});
      return;
    }
    this.queue.push(entry);
    this.queuedBytes += sizeOf(entry);
    this.requestWrite();
  }

  /** Adds the commit of the entries up to an index to the next write. */
  commit(index: number): void {
    this.majorityIndex = Math.max(this.majorityIndex, index);
    this.requestWrite();
  }

  /** Ends the wait of the entries that are not being written. */
  end(): void {
    this.isOver = true;
    const {queue} = this;
    this.queue = [];
    this.queuedBytes = 0;
    queue.forEach(({onEnd}) => onEnd({kind: 'notStored'}));
  }

  /** Duration of the last write, or of the one in progress if that is longer. */
  private get writeMs(): number {
    const nowMs = this.opts.clock.now();
    return Math.max(this.lastWriteMs, nowMs - (this.writeSinceMs ?? nowMs));
  }

  private requestWrite(): void {
    if (!this.isWriteDue) {
      this.isWriteDue = true;
      void this.opts.runExclusive(async () => {
        this.isWriteDue = false;
        await this.write();
      });
    }
  }

  private async write(): Promise<void> {
    const {clock, log, onFailed, onWritten} = this.opts;
    if (this.isOver) {
      return;
    }
    const entries = this.nextEntries();
    if (entries.length === 0 && this.majorityIndex <= log.commitIndex) {
      return;
    }
    const written = this.take(entries.length);
    const startedMs = clock.now();
    this.writeSinceMs = startedMs;
    try {
      await log.append(entries, this.majorityIndex);
    } catch (err) {
      const reason = (err as Error).message;
      written.forEach(({onEnd}) => onEnd({kind: 'failed', reason}));
      onFailed(err);
      return;
    } finally {
      this.writeSinceMs = undefined;
    }
    this.lastWriteMs = clock.now() - startedMs;
    written.forEach(({onEnd}, n) =>
      onEnd({kind: 'stored', index: entries[n]!.index}),
    );
    try {
      await onWritten();
    } catch (err) {
      onFailed(err);
    }
    if (this.queue.length > 0) {
      this.requestWrite();
    }
  }

  /** Entries of the next write, without taking them from the queue. */
  private nextEntries(): LogEntry[] {
    const {log, term} = this.opts;
    const firstIndex = log.lastIndex + 1;
    const entries = this.queue
      .slice(0, APPEND_LIMITS.maxEntries)
      .map(({body}, n): LogEntry => ({...body, index: firstIndex + n, term}));
    return firstEntriesWithin(entries, APPEND_LIMITS.maxBytes);
  }

  private take(count: number): QueuedEntry[] {
    const taken = this.queue.splice(0, count);
    for (const entry of taken) {
      this.queuedBytes -= sizeOf(entry);
    }
    return taken;
  }
}

function sizeOf({body}: QueuedEntry): number {
  return body.kind === 'command' ? body.command.byteLength : 0;
}
