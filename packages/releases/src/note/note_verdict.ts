/**
 * Decision about a release note; the same whenever the note is sent again.
 */
export type NoteVerdict =
  | {readonly kind: 'accepted'; readonly release: number}
  | {
      readonly kind: 'conflict';
      readonly currentRelease: number;
      readonly reason: string;
    };
