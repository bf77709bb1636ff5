import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {rendezvousOrder} from './rendezvous_order.js';

const names = fc.uniqueArray(fc.string({minLength: 1}), {
  minLength: 2,
  maxLength: 12,
});

describe('rendezvousOrder', () => {
  it('returns the same order for any input order of the candidates', () => {
    fc.assert(
      fc.property(fc.string(), names, (key, candidates) => {
        const reversed = [...candidates].reverse();
        expect(rendezvousOrder(key, reversed)).toEqual(
          rendezvousOrder(key, candidates),
        );
      }),
      {seed: 3},
    );
  });

  it('keeps the order of the other candidates when the first is removed', () => {
    fc.assert(
      fc.property(fc.string(), names, (key, candidates) => {
        const order = rendezvousOrder(key, candidates);
        const remaining = candidates.filter(name => name !== order[0]);
        expect(rendezvousOrder(key, remaining)).toEqual(order.slice(1));
      }),
      {seed: 4},
    );
  });
});
