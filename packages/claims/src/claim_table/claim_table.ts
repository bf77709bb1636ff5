import type {ClaimId, ClaimRecord, Outcome} from '@papayarun/protocol';
import {parseRequestKey} from '@papayarun/protocol';

const MS_PER_SECOND = 1000;

interface Held {
  record: ClaimRecord;
  /** Wall time from which the id can't be started any more anyway. */
  readonly expiresMs: number;
  keptBytes: number;
}

/**
 * Claims that one instance holds, under bounds of count, bytes and time.
 */
export class ClaimTable {
  private readonly held = new Map<string, Held>();
  private bytes = 0;

  private constructor(
    private readonly maxClaims: number,
    private readonly maxKeptBytes: number,
    /** Time past the making of an id during which it is remembered. */
    private readonly keepMs: number,
  ) {}

  /**
   * Makes an empty table.
   *
   * @param maxClaims - Claims it holds at most.
   * @param maxKeptBytes - Bytes of answers it keeps at most.
   * @param keepMs - Time past its making for which an id is remembered.
   * @returns The table.
   * @example
   * const table = ClaimTable.create(1_000_000, 1 << 26, 660_000);
   */
  static create(
    maxClaims: number,
    maxKeptBytes: number,
    keepMs: number,
  ): ClaimTable {
    return new ClaimTable(maxClaims, maxKeptBytes, keepMs);
  }

  get size(): number {
    return this.held.size;
  }

  get keptBytes(): number {
    return this.bytes;
  }

  isFull(): boolean {
    return this.held.size >= this.maxClaims;
  }

  get(id: string): ClaimRecord | undefined {
    return this.held.get(id)?.record;
  }

  put(record: ClaimRecord): void {
    const {madeAtSeconds} = parseRequestKey(record.id, 'id');
    const expiresMs = madeAtSeconds * MS_PER_SECOND + this.keepMs;
    this.delete(record.id);
    const {outcome, ...bare} = record;
    this.held.set(record.id, {record: bare, expiresMs, keptBytes: 0});
    if (outcome) {
      this.settle(record.id, record.claimId, outcome);
    }
  }

  /** Records how claimed work ended; without room the answer itself is dropped. */
  settle(id: string, claimId: ClaimId, outcome: Outcome): void {
    const held = this.held.get(id);
    if (held?.record.claimId !== claimId) {
      return;
    }
    const keptBytes =
      outcome.kind === 'answered' ? outcome.answer.body.byteLength : 0;
    if (this.bytes - held.keptBytes + keptBytes > this.maxKeptBytes) {
      return;
    }
    this.bytes += keptBytes - held.keptBytes;
    held.keptBytes = keptBytes;
    held.record = {...held.record, outcome};
  }

  /** Drops a claim, if it is still this attempt's. */
  release(id: string, claimId: ClaimId): void {
    if (this.held.get(id)?.record.claimId === claimId) {
      this.delete(id);
    }
  }

  clear(): void {
    this.held.clear();
    this.bytes = 0;
  }

  /** Drops claims whose ids have expired. */
  sweep(wallNowMs: number): void {
    for (const [id, {expiresMs}] of this.held) {
      if (wallNowMs > expiresMs) {
        this.delete(id);
      }
    }
  }

  /** Records with ids after a given one, in the order of ids. */
  page(afterId: string, count: number): ClaimRecord[] {
    return [...this.held.keys()]
      .filter(id => id > afterId)
      .sort()
      .slice(0, count)
      .map(id => this.held.get(id)!.record);
  }

  private delete(id: string): void {
    const held = this.held.get(id);
    if (held) {
      this.bytes -= held.keptBytes;
      this.held.delete(id);
    }
  }
}
