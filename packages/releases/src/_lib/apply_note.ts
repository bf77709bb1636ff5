import type {Applied} from '../apply_command/applied.js';
import type {ControlCommand} from '../command/control_command.js';
import type {ControlState} from '../control_state/control_state.js';
import type {ReleaseEntry} from '../control_state/release_entry.js';
import type {NoteVerdict} from '../note/note_verdict.js';
import type {ReleaseNote} from '../note/release_note.js';

/** Verdicts kept; older notes are refused by their base. */
const MAX_VERDICTS = 10_000;
const MAX_HISTORY = 1_000;

/**
 * Decides a release note and applies it when it is accepted.
 *
 * @param state - State before.
 * @param command - Note with the fingerprint of its content.
 * @returns State after, and the verdict.
 */
export function applyNote(
  state: ControlState,
  command: Extract<ControlCommand, {kind: 'applyNote'}>,
): Applied {
  const {note, fingerprint} = command;
  const known = state.verdicts.findLast(v => v.noteId === note.noteId);
  if (known) {
    const verdict: NoteVerdict =
      known.fingerprint === fingerprint
        ? known.verdict
        : conflict(state, 'the note id was used for another note');
    return {state, result: {kind: 'note', verdict}};
  }
  const verdict = decide(state, note);
  const verdicts = [
    ...state.verdicts,
    {noteId: note.noteId, fingerprint, verdict},
  ];
  const remembered = {...state, verdicts: verdicts.slice(-MAX_VERDICTS)};
  const next =
    verdict.kind === 'accepted' ? accept(remembered, command) : remembered;
  return {state: next, result: {kind: 'note', verdict}};
}

function decide(state: ControlState, note: ReleaseNote): NoteVerdict {
  if (note.base !== state.release) {
    return conflict(state, `the note was written against release ${note.base}`);
  }
  const present = (name: string): boolean => Object.hasOwn(state.entries, name);
  const taken = Object.keys(note.added).find(present);
  if (taken !== undefined) {
    return conflict(state, `${taken} is added but already in force`);
  }
  const missing = [...Object.keys(note.changed), ...note.withdrawn].find(
    name => !present(name),
  );
  if (missing !== undefined) {
    return conflict(
      state,
      `${missing} is changed or withdrawn but not in force`,
    );
  }
  return {kind: 'accepted', release: state.release + 1};
}

function accept(
  state: ControlState,
  command: Extract<ControlCommand, {kind: 'applyNote'}>,
): ControlState {
  const {note, atMs} = command;
  const release = state.release + 1;
  const entries: Record<string, ReleaseEntry> = {...state.entries};
  const tombstones: Record<string, number> = {...state.tombstones};
  for (const name of note.withdrawn) {
    delete entries[name];
    tombstones[name] = release;
  }
  for (const [name, value] of Object.entries(note.changed)) {
    entries[name] = {value, since: entries[name]!.since};
  }
  for (const [name, value] of Object.entries(note.added)) {
    entries[name] = {value, since: release};
    delete tombstones[name];
  }
  const history = [...state.history, {release, note, atMs}].slice(-MAX_HISTORY);
  return {...state, release, entries, tombstones, history};
}

function conflict(state: ControlState, reason: string): NoteVerdict {
  return {kind: 'conflict', currentRelease: state.release, reason};
}
