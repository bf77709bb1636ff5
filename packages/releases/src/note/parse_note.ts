import {DispatchError, listSchema} from '@papayarun/protocol';
import type {NoteId} from '@papayarun/protocol';
import * as z from 'zod';
import {ENTRY_NAME_PATTERN} from '../entry/entry_name_pattern.js';
import {entrySchemas} from '../entry/entry_schemas.js';
import type {NoteProblem} from './note_problem.js';
import type {ReleaseNote} from './release_note.js';

const MAX_ENTRIES = 1_000;
const MAX_NOTE_ID_LENGTH = 64;

const noteSchema = z.strictObject({
  noteId: z
    .string()
    .regex(
      /^[A-Za-z0-9_.-]+$/,
      'expected letters, digits, dots, dashes or underscores',
    )
    .max(MAX_NOTE_ID_LENGTH),
  base: z.number().int().min(0),
  added: z.record(z.string(), z.unknown()).default({}),
  changed: z.record(z.string(), z.unknown()).default({}),
  withdrawn: listSchema(z.string()).default([]),
});

/**
 * Validates a release note.
 *
 * @description All problems are reported at once, each with its JSON path.
 * Problems of single values and names are reported only if the note as a whole
 * has the right shape and not too many entries.
 * @param document - Parsed JSON.
 * @returns The note.
 * @throws DispatchError with `notRun` that names every problem.
 * @example
 * const note = parseNote(JSON.parse(text));
 */
export function parseNote(document: unknown): ReleaseNote {
  const result = noteSchema.safeParse(document);
  if (!result.success) {
    throw invalidNoteError(
      result.error.issues.map(issue => ({
        path: ['$', ...issue.path].join('.'),
        message: issue.message,
      })),
    );
  }
  const note = {...result.data, noteId: result.data.noteId as NoteId};
  const names = namesOf(note);
  if (names.length > MAX_ENTRIES) {
    throw invalidNoteError([
      {path: '$', message: `expected at most ${MAX_ENTRIES} entries`},
    ]);
  }
  const problems = [
    ...problemsOfValues('added', note.added),
    ...problemsOfValues('changed', note.changed),
    ...problemsOfNames(names),
  ];
  if (problems.length > 0) {
    throw invalidNoteError(problems);
  }
  return note;
}

function problemsOfValues(
  section: 'added' | 'changed',
  values: Readonly<Record<string, unknown>>,
): NoteProblem[] {
  return Object.entries(values).flatMap(([name, value]) => {
    const path = `$.${section}["${name}"]`;
    const category = ENTRY_NAME_PATTERN.exec(name)?.[1] as
      keyof typeof entrySchemas | undefined;
    if (!category) {
      return [
        {
          path,
          message:
            'expected a name of the form kind:name, team:name, caller:name, service:name or behaviour:name',
        },
      ];
    }
    const result = entrySchemas[category].safeParse(value);
    return result.success
      ? []
      : result.error.issues.map(issue => ({
          path: [path, ...issue.path].join('.'),
          message: issue.message,
        }));
  });
}

function namesOf(note: ReleaseNote): string[] {
  return [
    ...Object.keys(note.added),
    ...Object.keys(note.changed),
    ...note.withdrawn,
  ];
}

function problemsOfNames(names: readonly string[]): NoteProblem[] {
  const problems = names
    .filter((name, i) => names.indexOf(name) !== i)
    .map(name => ({
      path: `$..["${name}"]`,
      message: 'expected each name once in the note',
    }));
  if (names.length === 0) {
    problems.push({
      path: '$',
      message: 'expected at least one entry added, changed or withdrawn',
    });
  }
  return problems;
}

function invalidNoteError(problems: readonly NoteProblem[]): DispatchError {
  const text = problems.map(p => `${p.path}: ${p.message}`).join('; ');
  return DispatchError.notRun('badRequest', text, {field: problems[0]!.path});
}
