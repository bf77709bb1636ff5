import type {NoteId} from '@papayarun/protocol';

/**
 * What an operator asks to change, against the release it was written for.
 */
export interface ReleaseNote {
  readonly noteId: NoteId;
  /** Number of the release that the operator saw. */
  readonly base: number;
  readonly added: Readonly<Record<string, unknown>>;
  readonly changed: Readonly<Record<string, unknown>>;
  readonly withdrawn: readonly string[];
}
