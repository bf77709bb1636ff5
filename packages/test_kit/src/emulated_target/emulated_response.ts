/**
 * Response of an emulated target to a start or stop request.
 */
export type EmulatedResponse =
  | {readonly kind: 'accepted'; readonly clockMs: number}
  | {
      readonly kind: 'rejected';
      readonly reason: 'fenced' | 'superseded' | 'expired' | 'noRoom';
      readonly clockMs: number;
    };
