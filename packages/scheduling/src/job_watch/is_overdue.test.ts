import {describe, expect, it} from 'vitest';
import {isOverdue} from './is_overdue.js';

describe('isOverdue', () => {
  // Each task that runs a little longer would cost an order.
  it('leaves runs alone that are about as long as expected', () => {
    expect(isOverdue({orderedMs: 100, expectedMs: 60}, 220)).toBe(false);
  });

  // The answer that listed the end of the run may have been lost.
  it('sees runs that take clearly longer', () => {
    expect(isOverdue({orderedMs: 100, expectedMs: 60}, 240)).toBe(true);
  });
});
