import {describe, expect, it} from 'vitest';
import {remainingMs} from './remaining_ms.js';

describe('remainingMs', () => {
  it('counts the expected time down', () => {
    expect(remainingMs(100, 30)).toBe(70);
  });

  it('does not take an overdue run for a free place', () => {
    expect(remainingMs(100, 100)).toBe(20);
    expect(remainingMs(100, 900)).toBe(20);
  });
});
