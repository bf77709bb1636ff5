import type {NoteId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {fingerprintOfNote} from './fingerprint_of_note.js';
import type {ReleaseNote} from './release_note.js';

const NOTE: ReleaseNote = {
  noteId: 'storm-1' as NoteId,
  base: 3,
  added: {'behaviour:a': 1, 'behaviour:b': 2},
  changed: {},
  withdrawn: ['kind:c'],
};

describe('fingerprintOfNote', () => {
  it('does not depend on the id or on the order of the names', () => {
    const added = {'behaviour:b': 2, 'behaviour:a': 1};
    const other = {...NOTE, noteId: 'storm-2' as NoteId, added};
    expect(fingerprintOfNote(other)).toBe(fingerprintOfNote(NOTE));
  });

  it.each([
    {base: 4},
    {added: {'behaviour:a': 1}},
    {changed: {'behaviour:b': 2}},
    {withdrawn: []},
  ])('tells apart notes that differ in %j', change => {
    const other = {...NOTE, ...change};
    expect(fingerprintOfNote(other)).not.toBe(fingerprintOfNote(NOTE));
  });
});
