import fc from 'fast-check';
import {expect, it} from 'vitest';
import {GrowingBuffer} from './growing_buffer.js';
import {SegmentPool} from './segment_pool.js';

const KIB = 1024;
const MAX_BYTES = 400 * KIB;

// Pieces of one byte took more than a hundred bytes each when they were kept apart.
it('holds pieces of any size in at most twice their bytes, or 512', () => {
  const pool = SegmentPool.create(MAX_BYTES);
  const size = fc.oneof(fc.nat(300), fc.nat(150 * KIB));
  fc.assert(
    fc.property(fc.array(size, {maxLength: 12}), sizes => {
      const buffer = GrowingBuffer.create(MAX_BYTES, pool);
      const kept: Buffer[] = [];
      let length = 0;
      for (const [n, bytes] of sizes.entries()) {
        const capacity = buffer.capacityFor(bytes);
        if (length + bytes > MAX_BYTES) {
          expect(capacity).toBeUndefined();
          break;
        }
        const piece = Buffer.alloc(bytes, n + 1);
        kept.push(piece);
        length += bytes;
        buffer.append(piece);
        expect(capacity).toBeGreaterThanOrEqual(length);
        expect(capacity).toBeLessThanOrEqual(Math.max(512, 2 * length));
      }
      expect(buffer.take().equals(Buffer.concat(kept))).toBe(true);
      expect(buffer.capacityFor(0)).toBe(0);
    }),
    {seed: 5},
  );
});

// Each body of a crowd that was given up left its memory to the garbage collector.
it('uses the memory of a large buffer that was given up again', () => {
  const pool = SegmentPool.create(MAX_BYTES);
  const first = GrowingBuffer.create(MAX_BYTES, pool);
  const segment = pool.take();
  pool.giveBack(segment);
  first.append(Buffer.alloc(65 * KIB));
  first.clear();
  expect(pool.take()).not.toBe(segment);
  expect(pool.take()).toBe(segment);
});
