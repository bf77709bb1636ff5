import fc from 'fast-check';
import {expect, it} from 'vitest';
import {GrowingBuffer} from './growing_buffer.js';

const MAX_BYTES = 5_000;

// Pieces of one byte took more than a hundred bytes each when they were kept apart.
it('holds pieces of any size in at most twice their bytes, or 512', () => {
  const pieces = fc.array(fc.uint8Array({maxLength: 300}), {maxLength: 40});
  fc.assert(
    fc.property(pieces, drawn => {
      const buffer = GrowingBuffer.create(MAX_BYTES);
      const kept: number[] = [];
      for (const piece of drawn) {
        const capacity = buffer.capacityFor(piece.length);
        if (kept.length + piece.length > MAX_BYTES) {
          expect(capacity).toBeUndefined();
          break;
        }
        kept.push(...piece);
        buffer.append(piece);
        expect(capacity).toBeGreaterThanOrEqual(kept.length);
        expect(capacity).toBeLessThanOrEqual(Math.max(512, 2 * kept.length));
      }
      expect([...buffer.take()]).toEqual(kept);
      expect(buffer.capacityFor(0)).toBe(0);
    }),
    {seed: 5},
  );
});
