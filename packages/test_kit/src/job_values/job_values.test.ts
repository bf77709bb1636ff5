import {describe, expect, it} from 'vitest';
import {jobValues} from './job_values.js';

describe('jobValues', () => {
  it('compares the work of a job with the mean of its own kind', () => {
    const values = jobValues([
      {kind: 'short', workMs: 50},
      {kind: 'long', workMs: 900},
      {kind: 'short', workMs: 150},
    ]);
    [0.65, 1, 1.35].forEach((value, n) => expect(values[n]).toBeCloseTo(value));
  });

  it('limits the value of a job', () => {
    const small = Array.from({length: 19}, () => ({kind: 'a', workMs: 1}));
    expect(jobValues([...small, {kind: 'a', workMs: 1_000}]).at(-1)).toBe(4);
  });
});
