/**
 * Asks the leader for an index that holds all that was accepted so far.
 */
export interface ReadIndexCall {
  readonly req: Record<string, never>;
  readonly res:
    | {readonly kind: 'index'; readonly index: number}
    | {readonly kind: 'notLeader'};
}
