import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {returnedTargets} from './returned_targets.js';

const identity = (id: string): string => id;

describe('returnedTargets', () => {
  // A target that was filled and then left out would be cold again.
  it('keeps each target that was in use at a smaller share', () => {
    fc.assert(
      fc.property(
        fc.uniqueArray(fc.string(), {maxLength: 20}),
        fc.double({min: 0.01, max: 1, noNaN: true}),
        fc.double({min: 0.01, max: 1, noNaN: true}),
        (ids, a, b) => {
          const fewer = returnedTargets(ids, identity, Math.min(a, b));
          const more = returnedTargets(ids, identity, Math.max(a, b));
          expect(more).toEqual(expect.arrayContaining(fewer));
        },
      ),
      {seed: 1},
    );
  });

  it('uses at least one target, and all of them in the end', () => {
    expect(returnedTargets(['c', 'a', 'b'], identity, 0.01)).toEqual(['a']);
    expect(returnedTargets(['c', 'a', 'b'], identity, 1)).toHaveLength(3);
    expect(returnedTargets([], identity, 0.25)).toEqual([]);
  });
});
