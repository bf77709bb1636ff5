import type {ReleaseNote} from '../note/release_note.js';

/**
 * An accepted note and the release it made.
 */
export interface AcceptedNote {
  readonly release: number;
  readonly note: ReleaseNote;
  /** Wall time of its proposal in milliseconds. */
  readonly atMs: number;
}
