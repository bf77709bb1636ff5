import type {
  BootId,
  ClaimId,
  ClaimRecord,
  InstanceId,
} from '@papayarun/protocol';
import {DispatchError} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {answerOf} from '../_test/answer_of.js';
import {recordWithoutAnswer} from './record_without_answer.js';

const CLAIM: ClaimRecord = {
  id: 'centro.1.abc.request-1',
  claimId: 'claim1' as ClaimId,
  owner: 'centro-1' as InstanceId,
  ownerBoot: 'boot' as BootId,
  fingerprint: 'content',
};

describe('recordWithoutAnswer', () => {
  it('keeps the fact that answered work has run, and no answer', () => {
    const outcome = answerOf(Buffer.from('answer'));
    expect(recordWithoutAnswer({...CLAIM, outcome}, outcome)).toEqual({
      ...CLAIM,
      isAnswerGone: true,
      version: 2,
    });
  });

  it('does not claim that failed work has run', () => {
    const {refusal} = DispatchError.mayHaveRun('targetFailed', 'long message');
    const record = recordWithoutAnswer(CLAIM, {kind: 'refused', refusal});
    expect(record.isAnswerGone).toBeUndefined();
    expect(record.outcome).toMatchObject({
      kind: 'refused',
      refusal: {code: 'targetFailed', verdict: {kind: 'mayHaveRun'}},
    });
    expect(JSON.stringify(record)).not.toContain('long message');
  });
});
