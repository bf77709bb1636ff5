import type {
  ClaimId,
  ClaimRecord,
  EventLog,
  Outcome,
} from '@papayarun/protocol';
import {parseRequestKey} from '@papayarun/protocol';
import {answersToDrop} from '../answers_to_drop/answers_to_drop.js';
import {claimsPage} from '../claims_page/claims_page.js';
import {recordWithoutAnswer} from '../record_without_answer/record_without_answer.js';

const MS_PER_SECOND = 1000;

interface TableEntry {
  record: ClaimRecord;
  /**
   * Wall time in milliseconds since the Unix epoch after which the claim is
   * not needed, since the id itself is rejected as expired.
   */
  readonly expiresMs: number;
}

/**
 * Claims that one instance stores, limited in number, answer bytes and age.
 *
 * @description An answer that is given up for lack of room leaves the fact that
 * the work has ended, and a refusal its code and verdict, so that the work is
 * never started again.
 */
export class ClaimTable {
  private readonly entries = new Map<string, TableEntry>();
  /** Bytes of the stored answers by id, oldest first. */
  private readonly answerBytes = new Map<string, number>();
  private totalAnswerBytes = 0;
  /** Answers given up for lack of room, for metrics. */
  droppedAnswers = 0;

  private constructor(
    private readonly log: EventLog,
    private readonly maxClaims: number,
    private readonly maxAnswerBytes: number,
    /** Time for which a claim is kept after its id was made, in milliseconds. */
    private readonly retentionMs: number,
  ) {}

  /**
   * Creates an empty table.
   *
   * @param log - Event log.
   * @param maxClaims - Maximum number of claims.
   * @param maxAnswerBytes - Maximum total bytes of stored answers.
   * @param retentionMs - Time for which a claim is kept after its id was made,
   *   in milliseconds.
   * @returns The table.
   * @example
   * const table = ClaimTable.create(log, 1_000_000, 1 << 26, 660_000);
   */
  static create(
    log: EventLog,
    maxClaims: number,
    maxAnswerBytes: number,
    retentionMs: number,
  ): ClaimTable {
    return new ClaimTable(log, maxClaims, maxAnswerBytes, retentionMs);
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
    });
    if (outcome) {
      this.recordOutcome(record.id, record.claimId, outcome);
    }
  }

  /**
   * Stores a claim that another member has, or adds what that member knows of its
   * work to the same claim.
   */
  merge(record: ClaimRecord): void {
    const stored = this.get(record.id);
    if (!stored) {
      this.put(record);
      return;
    }
    if (stored.outcome) {
      return;
    }
    if (record.outcome) {
      this.recordOutcome(record.id, record.claimId, record.outcome);
    } else if (record.isAnswerGone) {
      this.recordEnd(record.id, record.claimId);
    }
  }

  /**
   * Stores the outcome of claimed work, if the claim of the id was made by the
   * given attempt. Older answers make room for a new one; an answer above the
   * limit is not stored.
   */
  recordOutcome(id: string, claimId: ClaimId, outcome: Outcome): void {
    const entry = this.entries.get(id);
    if (entry?.record.claimId !== claimId) {
      return;
    }
    this.forgetBytes(id);
    const bytes = bytesOf(outcome);
    const {ids, isNewKept} = answersToDrop(
      this.answerBytes,
      this.totalAnswerBytes,
      bytes,
      this.maxAnswerBytes,
    );
    ids.forEach(oldId => this.dropAnswer(oldId));
    if (!isNewKept) {
      this.giveUpAnswer(entry, outcome, bytes);
      return;
    }
    entry.record = {
      ...claimOf(entry.record),
      outcome: withOwnBytes(outcome),
    };
    this.answerBytes.set(id, bytes);
    this.totalAnswerBytes += bytes;
  }

  /**
   * Stores the fact that claimed work has run whose answer another instance has,
   * if the claim of the id was made by the given attempt.
   */
  recordEnd(id: string, claimId: ClaimId): void {
    const entry = this.entries.get(id);
    if (entry?.record.claimId === claimId && !entry.record.outcome) {
      entry.record = {...claimOf(entry.record), isAnswerGone: true, version: 2};
    }
  }

  private dropAnswer(id: string): void {
    const entry = this.entries.get(id)!;
    const bytes = this.answerBytes.get(id) ?? 0;
    this.forgetBytes(id);
    this.giveUpAnswer(entry, entry.record.outcome!, bytes);
  }

  private giveUpAnswer(
    entry: TableEntry,
    outcome: Outcome,
    bytes: number,
  ): void {
    entry.record = recordWithoutAnswer(entry.record, outcome);
    if (!entry.record.isAnswerGone) {
      return;
    }
    this.droppedAnswers++;
    this.log.emit('answerDropped', {
      id: entry.record.id,
      bytes,
      keptBytes: this.totalAnswerBytes,
      limitBytes: this.maxAnswerBytes,
    });
  }

  private forgetBytes(id: string): void {
    this.totalAnswerBytes -= this.answerBytes.get(id) ?? 0;
    this.answerBytes.delete(id);
  }

  /** Removes the claim of an id if it was made by the given attempt. */
  release(id: string, claimId: ClaimId): void {
    if (this.entries.get(id)?.record.claimId === claimId) {
      this.delete(id);
    }
  }

  clear(): void {
    this.entries.clear();
    this.answerBytes.clear();
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

  /**
   * Takes the claims that follow an id and fit into one message.
   *
   * @param afterId - Last id of the page before, empty for the first page.
   * @param maxRecords - Largest number of claims.
   * @param maxBytes - Largest size of the message, in bytes.
   * @returns The claims in ascending order of ids, and whether they are the last.
   */
  page(
    afterId: string,
    maxRecords: number,
    maxBytes: number,
  ): {readonly records: ClaimRecord[]; readonly done: boolean} {
    const claims = [...this.entries.keys()]
      .filter(id => id > afterId)
      .sort()
      .slice(0, maxRecords + 1)
      .map(id => ({
        record: this.entries.get(id)!.record,
        outcomeBytes: this.answerBytes.get(id) ?? 0,
      }));
    return claimsPage(claims, maxRecords, maxBytes);
  }

  private delete(id: string): void {
    this.forgetBytes(id);
    this.entries.delete(id);
  }
}

/** The claim itself, without what is known of its work. */
function claimOf(record: ClaimRecord): ClaimRecord {
  const {id, claimId, owner, ownerBoot, fingerprint} = record;
  return {id, claimId, owner, ownerBoot, fingerprint};
}

/** Bytes that a stored outcome takes. */
function bytesOf(outcome: Outcome): number {
  const text =
    outcome.kind === 'answered'
      ? outcome.answer.contentType
      : outcome.refusal.message + (outcome.refusal.field ?? '');
  const body = outcome.kind === 'answered' ? outcome.answer.body.byteLength : 0;
  return Buffer.byteLength(text) + body;
}

/**
 * Copies the body of an answer that is a part of a larger buffer, such as a
 * message of another instance, which it would keep in memory.
 */
function withOwnBytes(outcome: Outcome): Outcome {
  if (outcome.kind === 'refused') {
    return outcome;
  }
  const {body} = outcome.answer;
  return body.byteLength === body.buffer.byteLength
    ? outcome
    : {...outcome, answer: {...outcome.answer, body: new Uint8Array(body)}};
}
