/**
 * Envelope of a message on a link between instances.
 */
export type Frame =
  | {
      readonly f: 'call';
      readonly id: number;
      readonly type: string;
      readonly body: unknown;
    }
  | {readonly f: 'reply'; readonly id: number; readonly body: unknown}
  | {readonly f: 'fail'; readonly id: number; readonly message: string}
  | {readonly f: 'note'; readonly type: string; readonly body: unknown};
