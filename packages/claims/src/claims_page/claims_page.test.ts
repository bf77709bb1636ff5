import type {
  BootId,
  ClaimId,
  ClaimRecord,
  InstanceId,
} from '@papayarun/protocol';
import {encodeMessage} from '@papayarun/protocol';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {answerOf} from '../_test/answer_of.js';
import {claimsPage} from './claims_page.js';

const MAX_RECORDS = 5;
const MAX_BYTES = 4_096;

function claimOf(
  n: number,
  bytes: number,
): {readonly record: ClaimRecord; readonly outcomeBytes: number} {
  const record: ClaimRecord = {
    id: `centro.1.t9k2x0.${String(n).padStart(64, '0')}`,
    claimId: `${n}-0123456789abcdef0123456789abcdef` as ClaimId,
    owner: 'centro-1' as InstanceId,
    ownerBoot: 'boot' as BootId,
    fingerprint: 'f'.repeat(64),
    outcome: answerOf(new Uint8Array(bytes)),
  };
  return {record, outcomeBytes: bytes + 'text/plain'.length};
}

describe('claimsPage', () => {
  it('exceeds no limit, and loses no claim over all pages', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(2 * MAX_BYTES)), sizes => {
        const claims = sizes.map((bytes, n) => claimOf(n, bytes));
        let rest = claims;
        const ids: string[] = [];
        for (;;) {
          const {records, done} = claimsPage(rest, MAX_RECORDS, MAX_BYTES);
          expect(records.length).toBeLessThanOrEqual(MAX_RECORDS);
          expect(encodeMessage(records).length).toBeLessThanOrEqual(MAX_BYTES);
          ids.push(...records.map(({id}) => id));
          rest = rest.slice(records.length);
          if (done) {
            break;
          }
          expect(records.length).toBeGreaterThan(0);
        }
        expect(ids).toEqual(claims.map(({record}) => record.id));
      }),
      {seed: 21},
    );
  });

  it('keeps the fact that work has run whose answer is larger than a message', () => {
    const claim = claimOf(1, MAX_BYTES);
    const {records} = claimsPage([claim], MAX_RECORDS, MAX_BYTES);
    expect(records[0]).toMatchObject({isAnswerGone: true});
    expect(records[0]!.outcome).toBeUndefined();
  });

  it('keeps an answer that fits', () => {
    const claim = claimOf(1, MAX_BYTES / 2);
    const page = claimsPage([claim], MAX_RECORDS, MAX_BYTES);
    expect(page).toEqual({records: [claim.record], done: true});
  });
});
