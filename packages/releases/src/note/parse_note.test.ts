import {DispatchError} from '@papayarun/protocol';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {parseNote} from './parse_note.js';

function messageOf(document: unknown): string {
  try {
    parseNote(document);
  } catch (err) {
    return (err as DispatchError).refusal.message;
  }
  return '';
}

describe('parseNote', () => {
  it('accepts entries of every category', () => {
    const note = parseNote({
      noteId: 'storm-1',
      base: 3,
      added: {'kind:hospital': {weight: 4}, 'team:linemen': {fraction: 0.5}},
      changed: {
        'service:booking': {whenCutOff: 'refuse'},
        'behaviour:reminders': {by: 'text'},
      },
      withdrawn: ['caller:concierge'],
    });
    expect(note.base).toBe(3);
  });

  it('reports every invalid field at once', () => {
    const message = messageOf({
      noteId: 'x',
      base: 0,
      added: {'kind:a': {weight: 0}, 'colour:a': 1},
      withdrawn: ['kind:a'],
    });
    expect(message).toContain('$.added["kind:a"].weight');
    expect(message).toContain('$.added["colour:a"]');
    expect(message).toContain('expected each name once');
  });

  it('throws only a notRun refusal for any invalid document', () => {
    fc.assert(
      fc.property(fc.jsonValue(), document => {
        try {
          parseNote(document);
        } catch (err) {
          expect(err).toBeInstanceOf(DispatchError);
          expect((err as DispatchError).refusal.verdict.kind).toBe('notRun');
        }
      }),
      {seed: 13, numRuns: 1_000},
    );
  });
});
