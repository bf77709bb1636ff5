import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {decodeFrames} from './decode_frames.js';
import {encodeFrame} from './encode_frame.js';
import {JournalCorruptError} from './journal_corrupt_error.js';

const payloads = fc.array(fc.uint8Array({minLength: 1, maxLength: 60}), {
  minLength: 2,
  maxLength: 8,
});

describe('decodeFrames', () => {
  it('decodes the payloads that were encoded', () => {
    fc.assert(
      fc.property(payloads, parts => {
        const file = Buffer.concat(parts.map(encodeFrame));
        const decoded = decodeFrames(file);
        expect(decoded.validBytes).toBe(file.length);
        expect(decoded.payloads.map(p => Buffer.from(p))).toEqual(
          parts.map(p => Buffer.from(p)),
        );
      }),
      {seed: 8},
    );
  });

  it('drops an incomplete last frame', () => {
    fc.assert(
      fc.property(payloads, fc.nat(), (parts, n) => {
        const frames = parts.map(encodeFrame);
        const last = frames.at(-1)!;
        const completeFrames = Buffer.concat(frames.slice(0, -1));
        const truncated = Buffer.concat([
          completeFrames,
          last.subarray(0, n % last.length),
        ]);
        const decoded = decodeFrames(truncated);
        expect(decoded.validBytes).toBe(completeFrames.length);
        expect(decoded.payloads.length).toBe(parts.length - 1);
      }),
      {seed: 9},
    );
  });

  it('rejects any changed byte before the last frame', () => {
    fc.assert(
      fc.property(
        payloads,
        fc.nat(),
        fc.integer({min: 1, max: 255}),
        (parts, n, flip) => {
          const frames = parts.map(encodeFrame);
          const file = Buffer.concat(frames);
          const at = n % (file.length - frames.at(-1)!.length);
          file[at] = file[at]! ^ flip;
          expect(() => decodeFrames(file)).toThrow(JournalCorruptError);
        },
      ),
      {seed: 10, numRuns: 500},
    );
  });

  it('throws nothing but JournalCorruptError on arbitrary bytes', () => {
    fc.assert(
      fc.property(fc.uint8Array({maxLength: 300}), bytes => {
        try {
          expect(decodeFrames(bytes).validBytes).toBeLessThanOrEqual(
            bytes.length,
          );
        } catch (err) {
          expect(err).toBeInstanceOf(JournalCorruptError);
        }
      }),
      {seed: 11, numRuns: 2_000},
    );
  });
});
