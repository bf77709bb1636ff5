import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {rendezvousOrder} from './rendezvous_order.js';

const names = fc.uniqueArray(fc.string({minLength: 1}), {
  minLength: 2,
  maxLength: 12,
});

describe('rendezvousOrder', () => {
  it('gives the same order whatever the order of the candidates', () => {
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

  it('keeps the order of the others when a candidate goes', () => {
    fc.assert(
      fc.property(fc.string(), names, (key, candidates) => {
        const order = rendezvousOrder(key, candidates);
        const without = candidates.filter(name => name !== order[0]);
        expect(rendezvousOrder(key, without)).toEqual(order.slice(1));
      }),
      {seed: 4},
    );
  });
});
