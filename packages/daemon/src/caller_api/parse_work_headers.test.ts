import {DispatchError} from '@papayarun/protocol';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {parseWorkHeaders} from './parse_work_headers.js';

const HEADERS = [
  'papayarun-id',
  'papayarun-repeatable',
  'papayarun-kind',
  'papayarun-caller',
  'papayarun-team',
  'papayarun-urgency',
  'papayarun-deadline-ms',
  'papayarun-run-ms',
  'papayarun-customer',
];

describe('parseWorkHeaders', () => {
  it('requires an id unless the request declares itself repeatable', () => {
    expect(() => parseWorkHeaders({}, 1_000)).toThrow('papayarun-repeatable');
    expect(() =>
      parseWorkHeaders({'papayarun-repeatable': 'false'}, 1_000),
    ).toThrow('papayarun-id');
    expect(
      parseWorkHeaders({'papayarun-repeatable': 'true'}, 1_000),
    ).toMatchObject({
      repeatable: true,
      kind: 'default',
      deadlineMs: 1_000,
      urgency: 1,
    });
  });

  it('names the invalid header, for arbitrary header values', () => {
    const value = fc.oneof(
      fc.string(),
      fc.array(fc.string()),
      fc.nat().map(String),
      fc.constant('true'),
    );
    const headers = fc.dictionary(fc.constantFrom(...HEADERS), value);
    fc.assert(
      fc.property(headers, requestHeaders => {
        try {
          const workHeaders = parseWorkHeaders(requestHeaders, 1_000);
          expect(workHeaders.urgency).toBeLessThanOrEqual(3);
          expect(workHeaders.repeatable || workHeaders.id !== undefined).toBe(
            true,
          );
        } catch (err) {
          const {refusal} = err as DispatchError;
          expect(refusal.verdict.kind).toBe('notRun');
          expect(HEADERS).toContain(refusal.field);
        }
      }),
      {seed: 14, numRuns: 5_000},
    );
  });
});
