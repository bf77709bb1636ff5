/**
 * Requests the committed commands after an index, or a snapshot.
 */
export interface PullStateCall {
  readonly req: {readonly afterIndex: number};
  readonly res:
    | {
        readonly kind: 'commands';
        readonly commands: ReadonlyArray<{
          readonly index: number;
          readonly command: Uint8Array;
        }>;
      }
    | {
        readonly kind: 'snapshot';
        readonly index: number;
        readonly state: Uint8Array;
      };
}
