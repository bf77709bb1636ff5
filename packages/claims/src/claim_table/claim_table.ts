import type {ClaimId, ClaimRecord, Outcome} from '@papayarun/protocol';
import {parseRequestKey} from '@papayarun/protocol';

const MS_PER_SECOND = 1000;

interface TableEntry {
  record: ClaimRecord;
  /**
   * Wall time in milliseconds since the Unix epoch after which the claim is
   * not needed, since the id itself is rejected as expired.
   */
  readonly expiresMs: number;
  /** Bytes of the stored answer; 0 without one. */
  answerBytes: number;
}

/**
 * Claims that one instance stores, limited in number, answer bytes and age.
 */
export class ClaimTable {
  private readonly entries = new Map<string, TableEntry>();
  private totalAnswerBytes = 0;

  private constructor(
    private readonly maxClaims: number,
    private readonly maxAnswerBytes: number,
    /** Time for which a claim is kept after its id was made, in milliseconds. */
    private readonly retentionMs: number,
  ) {}

  /**
   * Creates an empty table.
   *
   * @param maxClaims - Maximum number of claims.
   * @param maxAnswerBytes - Maximum total bytes of stored answers.
   * @param retentionMs - Time for which a claim is kept after its id was made,
   *   in milliseconds.
   * @returns The table.
   * @example
   * const table = ClaimTable.create(1_000_000, 1 << 26, 660_000);
   */
  static create(
    maxClaims: number,
    maxAnswerBytes: number,
    retentionMs: number,
  ): ClaimTable {
    return new ClaimTable(maxClaims, maxAnswerBytes, retentionMs);
  }

  /** Number of stored claims. */
  get size(): number {
    return this.entries.size;
  }

  /** Total bytes of stored answers. */
  get keptBytes(): number {
    return this.totalAnswerBytes;
  }

  isFull(): boolean {
    return this.entries.size >= this.maxClaims;
  }

  get(id: string): ClaimRecord | undefined {
    return this.entries.get(id)?.record;
  }

  /** Stores a claim in place of any earlier claim of the same id. */
  put(record: ClaimRecord): void {
    const {madeAtSeconds} = parseRequestKey(record.id, 'id');
    const expiresMs = madeAtSeconds * MS_PER_SECOND + this.retentionMs;
    this.delete(record.id);
    const {outcome, ...recordWithoutOutcome} = record;
    this.entries.set(record.id, {
      record: recordWithoutOutcome,
      expiresMs,
      answerBytes: 0,
    });
    if (outcome) {
      this.recordOutcome(record.id, record.claimId, outcome);
    }
  }

  /**
   * Stores the outcome of claimed work, if the claim of the id was made by the
   * given attempt. An outcome whose answer would exceed the limit of total
   * answer bytes is not stored.
   */
  recordOutcome(id: string, claimId: ClaimId, outcome: Outcome): void {
    const entry = this.entries.get(id);
    if (entry?.record.claimId !== claimId) {
      return;
    }
    const answerBytes =
      outcome.kind === 'answered' ? outcome.answer.body.byteLength : 0;
    if (
      this.totalAnswerBytes - entry.answerBytes + answerBytes >
      this.maxAnswerBytes
    ) {
      return;
    }
    this.totalAnswerBytes += answerBytes - entry.answerBytes;
    entry.answerBytes = answerBytes;
    entry.record = {...entry.record, outcome};
  }

  /** Removes the claim of an id if it was made by the given attempt. */
  release(id: string, claimId: ClaimId): void {
    if (this.entries.get(id)?.record.claimId === claimId) {
      this.delete(id);
    }
  }

  clear(): void {
    this.entries.clear();
    this.totalAnswerBytes = 0;
  }

  /** Removes claims whose ids have expired. */
  sweep(wallNowMs: number): void {
    for (const [id, {expiresMs}] of this.entries) {
      if (wallNowMs > expiresMs) {
        this.delete(id);
      }
    }
  }

  /** Claims with ids greater than the given one, in ascending order of ids. */
  page(afterId: string, count: number): ClaimRecord[] {
    return [...this.entries.keys()]
      .filter(id => id > afterId)
      .sort()
      .slice(0, count)
      .map(id => this.entries.get(id)!.record);
  }

  private delete(id: string): void {
    const entry = this.entries.get(id);
    if (entry) {
      this.totalAnswerBytes -= entry.answerBytes;
      this.entries.delete(id);
    }
  }
}
