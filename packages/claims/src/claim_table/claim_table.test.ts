import type {
  BootId,
  ClaimId,
  ClaimRecord,
  InstanceId,
  Outcome,
} from '@papayarun/protocol';
import {SilentLog} from '@papayarun/test_kit';
import {beforeEach, describe, expect, it} from 'vitest';
import {ClaimTable} from './claim_table.js';

const CONTENT_TYPE = 'text/plain';
/** Room for two answers of 50 bytes with their content types. */
const MAX_ANSWER_BYTES = 2 * (50 + CONTENT_TYPE.length);

function recordOf(n: number): ClaimRecord {
  return {
    id: `centro.1.abc.request-${n}`,
    claimId: `claim${n}` as ClaimId,
    owner: 'centro-1' as InstanceId,
    ownerBoot: 'boot' as BootId,
    fingerprint: 'content',
  };
}

function answerOf(body: Uint8Array): Outcome {
  return {
    kind: 'answered',
    answer: {status: 200, contentType: CONTENT_TYPE, body, release: 1},
  };
}

describe('ClaimTable', () => {
  let table: ClaimTable;

  beforeEach(() => {
    table = ClaimTable.create(
      SilentLog.create(),
      10,
      MAX_ANSWER_BYTES,
      600_000,
    );
  });

  function store(n: number, bytes: number): string {
    const record = recordOf(n);
    table.put(record);
    table.recordOutcome(
      record.id,
      record.claimId,
      answerOf(new Uint8Array(bytes)),
    );
    return record.id;
  }

  it('keeps the fact that work ended whose answer exceeds the limit', () => {
    const id = store(1, MAX_ANSWER_BYTES);
    expect(table.get(id)).toMatchObject({isAnswerGone: true, version: 2});
    expect(table.get(id)!.outcome).toBeUndefined();
    expect(table.keptBytes).toBe(0);
  });

  it('gives up the oldest answer for a new one, and counts what it holds', () => {
    const ids = [store(1, 50), store(2, 50), store(3, 50)];
    expect(table.get(ids[0]!)!.isAnswerGone).toBe(true);
    expect(table.get(ids[1]!)!.outcome).toBeDefined();
    expect(table.get(ids[2]!)!.outcome).toBeDefined();
    expect(table.keptBytes).toBe(MAX_ANSWER_BYTES);
    expect(table.droppedAnswers).toBe(1);
  });

  it('keeps the fact through a transfer to another table', () => {
    const id = store(1, MAX_ANSWER_BYTES);
    const other = ClaimTable.create(SilentLog.create(), 10, 1_000, 600_000);
    table.page('', 10, 10_000).records.forEach(record => other.put(record));
    expect(other.get(id)).toMatchObject({isAnswerGone: true});
  });

  it('keeps a claim of another attempt, and an outcome, when it merges a record', () => {
    const id = store(1, 50);
    const {outcome, ...claim} = table.get(id)!;
    table.merge({...claim, isAnswerGone: true, version: 2});
    expect(table.get(id)).toEqual({...claim, outcome});
    const other = recordOf(2);
    table.put(other);
    table.merge({...other, claimId: 'other' as ClaimId, outcome: outcome!});
    expect(table.get(other.id)).toEqual(other);
  });

  it('takes an answer that another member still has', () => {
    const id = store(1, MAX_ANSWER_BYTES);
    table.recordOutcome(id, recordOf(1).claimId, answerOf(new Uint8Array(3)));
    expect(table.get(id)!.outcome).toBeDefined();
    expect(table.get(id)!.isAnswerGone).toBeUndefined();
  });

  it('does not keep the message in memory that an answer arrived in', () => {
    const record = recordOf(1);
    table.put(record);
    const message = new Uint8Array(1 << 20);
    const body = message.subarray(10, 30);
    table.recordOutcome(record.id, record.claimId, answerOf(body));
    const outcome = table.get(record.id)!.outcome;
    const stored = outcome?.kind === 'answered' ? outcome.answer.body : body;
    expect(stored.buffer.byteLength).toBe(20);
  });

  it('is empty after all claims expired', () => {
    store(1, 50);
    store(2, MAX_ANSWER_BYTES);
    table.sweep(Number.MAX_SAFE_INTEGER);
    expect(table.size).toBe(0);
    expect(table.keptBytes).toBe(0);
  });
});
