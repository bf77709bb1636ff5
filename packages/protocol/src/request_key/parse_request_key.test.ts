import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {DataCentreId} from '../ids/data_centre_id.js';
import {DispatchError} from '../dispatch_error/dispatch_error.js';
import {formatRequestKeyPrefix} from './format_request_key_prefix.js';
import {parseRequestKey} from './parse_request_key.js';

describe('parseRequestKey', () => {
  it('parses a key with a prefix from formatRequestKeyPrefix', () => {
    fc.assert(
      fc.property(
        fc.constantFrom('centro', 'north-shore'),
        fc.nat(999_999_999),
        fc.nat(2 ** 31),
        (home, generation, seconds) => {
          const prefix = formatRequestKeyPrefix(
            home as DataCentreId,
            generation,
            seconds * 1000,
          );
          const key = parseRequestKey(`${prefix}abcd-1234`, 'id');
          expect(key).toEqual({
            home,
            generation,
            madeAtSeconds: seconds,
            opaque: 'abcd-1234',
          });
        },
      ),
      {seed: 1},
    );
  });

  it('rejects any other text with a notRun error that names the field', () => {
    fc.assert(
      fc.property(fc.string(), text => {
        try {
          parseRequestKey(text, 'papayarun-id');
          expect(text).toMatch(/^[a-z][a-z0-9-]*\.\d+\.[0-9a-z]+\.[\w-]+$/);
        } catch (err) {
          expect(err).toBeInstanceOf(DispatchError);
          expect((err as DispatchError).refusal).toMatchObject({
            verdict: {kind: 'notRun'},
            field: 'papayarun-id',
          });
        }
      }),
      {seed: 2, numRuns: 2_000},
    );
  });
});
