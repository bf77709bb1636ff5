import type {ReleaseNote} from '../note/release_note.js';

/**
 * An accepted release note and the number of the release that it created.
 */
export interface AcceptedNote {
  readonly release: number;
  readonly note: ReleaseNote;
  /** Wall time of the proposal in milliseconds since the Unix epoch. */
  readonly atMs: number;
}
