import {encodeMessage} from '@papayarun/protocol';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {parseFrame} from './parse_frame.js';

describe('parseFrame', () => {
  it('parses each kind of frame', () => {
    const frames = [
      {f: 'call', id: 1, type: 'vote', body: {term: 2}},
      {f: 'reply', id: 1, body: null},
      {f: 'fail', id: 1, message: 'no'},
      {f: 'note', type: 'heartbeat', body: [1]},
    ];
    for (const frame of frames) {
      expect(parseFrame(encodeMessage(frame))).toEqual(frame);
    }
  });

  it('returns a frame or throws an Error on arbitrary bytes', () => {
    fc.assert(
      fc.property(fc.uint8Array({maxLength: 200}), bytes => {
        try {
          const frame = parseFrame(bytes);
          expect(['call', 'reply', 'fail', 'note']).toContain(frame.f);
        } catch (err) {
          expect(err).toBeInstanceOf(Error);
        }
      }),
      {seed: 5, numRuns: 5_000},
    );
  });

  it('throws on encoded values that are not frames', () => {
    fc.assert(
      fc.property(fc.json(), text => {
        const bytes = encodeMessage(JSON.parse(text));
        expect(() => parseFrame(bytes)).toThrow('frame');
      }),
      {seed: 6},
    );
  });
});
