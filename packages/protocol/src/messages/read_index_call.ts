/**
 * Requests an index from the leader that covers all commands accepted so far.
 */
export interface ReadIndexCall {
  readonly req: Record<string, never>;
  readonly res:
    | {readonly kind: 'index'; readonly index: number}
    | {readonly kind: 'notLeader'};
}
