import {describe, expect, it} from 'vitest';
import {remainingMs} from './remaining_ms.js';

describe('remainingMs', () => {
  it('returns the expected run time less the elapsed time', () => {
    expect(remainingMs(100, 30)).toBe(70);
  });

  it('does not count an overdue run as a free slot', () => {
    expect(remainingMs(100, 100)).toBe(20);
    expect(remainingMs(100, 900)).toBe(20);
  });
});
