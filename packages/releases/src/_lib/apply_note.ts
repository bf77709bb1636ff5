import type {AppliedCommand} from '../apply_command/applied_command.js';
import type {ControlCommand} from '../command/control_command.js';
import type {ControlState} from '../control_state/control_state.js';
import type {ReleaseEntry} from '../control_state/release_entry.js';
import type {NoteVerdict} from '../note/note_verdict.js';
import {fingerprintOfNote} from '../note/fingerprint_of_note.js';
import type {ReleaseNote} from '../note/release_note.js';

/**
 * Number of latest verdicts kept. A rejected note whose verdict was dropped is
 * decided again; an accepted one is found in the history.
 */
const MAX_VERDICTS = 10_000;
/** Number of latest accepted notes kept. */
const MAX_HISTORY = 1_000;

type ApplyNote = Extract<ControlCommand, {kind: 'applyNote'}>;

/**
 * Accepts or rejects a release note, and applies it if it is accepted.
 *
 * @description A note that is sent again gets its first verdict. The reasons of
 * verdicts are part of the replicated state, so their texts must be the same in
 * all versions that replicate one log.
 * @param state - State before the command.
 * @param command - Note with the fingerprint of its content.
 * @returns State after the command, and the verdict.
 */
export function applyNote(
  state: ControlState,
  command: ApplyNote,
): AppliedCommand {
  const {state: next, verdict} = decide(state, command);
  // The verdicts may have been dropped for those of rejected notes. The state is
  // the one that versions without this look-up derive.
  const accepted = acceptedVerdictOf(state, command.note);
  return {state: next, result: {kind: 'note', verdict: accepted ?? verdict}};
}

/** Verdict on a note that the history has with the same content. */
function acceptedVerdictOf(
  state: ControlState,
  note: ReleaseNote,
): NoteVerdict | undefined {
  const earlier = state.history.findLast(h => h.note.noteId === note.noteId);
  const isSame =
    earlier && fingerprintOfNote(earlier.note) === fingerprintOfNote(note);
  return isSame ? {kind: 'accepted', release: earlier.release} : undefined;
}

function decide(
  state: ControlState,
  command: ApplyNote,
): {readonly state: ControlState; readonly verdict: NoteVerdict} {
  const {note, fingerprint} = command;
  const earlier = state.verdicts.findLast(v => v.noteId === note.noteId);
  if (earlier) {
    const verdict: NoteVerdict =
      earlier.fingerprint === fingerprint
        ? earlier.verdict
        : conflict(state, 'the note id was used for another note');
    return {state, verdict};
  }
  const verdict = verdictOf(state, note);
  const verdicts = [
    ...state.verdicts,
    {noteId: note.noteId, fingerprint, verdict},
  ];
  const stateWithVerdict = {...state, verdicts: verdicts.slice(-MAX_VERDICTS)};
  const next =
    verdict.kind === 'accepted'
      ? applyAcceptedNote(stateWithVerdict, command)
      : stateWithVerdict;
  return {state: next, verdict};
}

function verdictOf(state: ControlState, note: ReleaseNote): NoteVerdict {
  if (note.base !== state.release) {
    return conflict(state, `the note was written against release ${note.base}`);
  }
  const isInForce = (name: string): boolean =>
    Object.hasOwn(state.entries, name);
  const alreadyInForce = Object.keys(note.added).find(isInForce);
  if (alreadyInForce !== undefined) {
    return conflict(state, `${alreadyInForce} is added but already in force`);
  }
  const notInForce = [...Object.keys(note.changed), ...note.withdrawn].find(
    name => !isInForce(name),
  );
  if (notInForce !== undefined) {
    return conflict(
      state,
      `${notInForce} is changed or withdrawn but not in force`,
    );
  }
  return {kind: 'accepted', release: state.release + 1};
}

function applyAcceptedNote(
  state: ControlState,
  command: ApplyNote,
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
