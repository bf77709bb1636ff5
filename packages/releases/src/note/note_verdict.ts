/**
 * Decision on a release note. A note that is sent again gets the same decision.
 */
export type NoteVerdict =
  | {readonly kind: 'accepted'; readonly release: number}
  | {
      readonly kind: 'conflict';
      readonly currentRelease: number;
      readonly reason: string;
    };
