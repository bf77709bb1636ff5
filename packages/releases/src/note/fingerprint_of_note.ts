import {fingerprint} from '@papayarun/protocol';
import type {ReleaseNote} from './release_note.js';

/**
 * Returns a fingerprint of the content of a release note, without its id.
 *
 * @description The order of the names in `added` and `changed` has no effect.
 * @param note - The note.
 * @returns The fingerprint.
 * @throws Never.
 * @example
 * fingerprintOfNote(note) === fingerprintOfNote({...note}); // true
 */
export function fingerprintOfNote(note: ReleaseNote): string {
  const content = [
    note.base,
    sortedEntries(note.added),
    sortedEntries(note.changed),
    note.withdrawn,
  ];
  return fingerprint(Buffer.from(JSON.stringify(content)));
}

function sortedEntries(
  values: Readonly<Record<string, unknown>>,
): Array<[string, unknown]> {
  return Object.entries(values).sort(([a], [b]) => (a < b ? -1 : 1));
}
