/**
 * Asks the leader to commit a command.
 */
export interface ProposeCall {
  readonly req: {readonly command: Uint8Array};
  readonly res:
    | {
        readonly kind: 'committed';
        readonly index: number;
        readonly result: Uint8Array;
      }
    | {readonly kind: 'notLeader'}
    | {readonly kind: 'unknown'; readonly reason: string};
}
