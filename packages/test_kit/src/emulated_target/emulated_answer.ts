/**
 * What an emulated target answers.
 */
export type EmulatedAnswer =
  | {readonly kind: 'accepted'; readonly clockMs: number}
  | {
      readonly kind: 'rejected';
      readonly reason: 'fenced' | 'superseded' | 'expired' | 'noRoom';
      readonly clockMs: number;
    };
