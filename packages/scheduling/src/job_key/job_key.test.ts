import type {JobId, ScheduledJob} from '@papayarun/protocol';
import {expect, it} from 'vitest';
import {jobKey} from './job_key.js';

function partOf(firstIndex: number, count: number): ScheduledJob {
  const steps = [{firstIndex, count}];
  return {id: '5c0e7a21d94b36f8' as JobId, steps} as unknown as ScheduledJob;
}

it('tells a job from its parts, and the parts from each other', () => {
  const keys = [partOf(0, 4), partOf(0, 2), partOf(2, 2)].map(jobKey);
  expect(new Set(keys).size).toBe(3);
  expect(jobKey(partOf(2, 2))).toBe(keys[2]);
});
