import type {NoteId} from '@papayarun/protocol';

/**
 * Changes to the entries in force that an operator submits. They are accepted
 * only if `base` is still the current release.
 */
export interface ReleaseNote {
  readonly noteId: NoteId;
  /** Number of the release that the changes were written for. */
  readonly base: number;
  readonly added: Readonly<Record<string, unknown>>;
  readonly changed: Readonly<Record<string, unknown>>;
  readonly withdrawn: readonly string[];
}
