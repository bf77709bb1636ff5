import type {CancelJobsCall, InstanceId, JobId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {joinAnswers} from './join_answers.js';

const A = 'a' as InstanceId;
const B = 'b' as InstanceId;
const JOB = '5c0e7a21d94b36f8' as JobId;

function answer(
  confirmed: InstanceId[],
  unconfirmed: InstanceId[],
): CancelJobsCall['res'] {
  return {accepted: true, found: [], confirmed, unconfirmed};
}

describe('joinAnswers', () => {
  it('does not count as confirmed what nobody has answered', () => {
    expect(joinAnswers([]).isConfirmed).toBe(false);
    expect(joinAnswers([answer([A], []), undefined]).isConfirmed).toBe(false);
  });

  it('does not count an instance without room as one that has confirmed', () => {
    const full = {...answer([], []), accepted: false};
    expect(joinAnswers([answer([A], []), full]).isConfirmed).toBe(false);
  });

  it('counts an instance that one of two state instances has reached', () => {
    const answers = [answer([A], [B]), answer([B], [])];
    expect(joinAnswers(answers).isConfirmed).toBe(true);
    expect(joinAnswers(answers.slice(0, 1)).isConfirmed).toBe(false);
  });

  it('tells of a job that was in progress at any instance', () => {
    const found = {...answer([A], []), found: [JOB]};
    expect(joinAnswers([answer([B], []), found]).found).toEqual(new Set([JOB]));
  });
});
