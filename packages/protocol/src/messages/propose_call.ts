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
    /**
     * The leader could not commit it in time, and never will. Versions before it
     * try the next instance, as after `notLeader`.
     */
    | {readonly kind: 'refused'; readonly reason: string}
    | {readonly kind: 'unknown'; readonly reason: string};
}
