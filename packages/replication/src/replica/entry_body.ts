import type {ReplicaSet} from '@papayarun/protocol';

/** Log entry without its index and term. */
export type EntryBody =
  | {readonly kind: 'noop'}
  | {readonly kind: 'replicas'; readonly replicas: ReplicaSet}
  | {readonly kind: 'command'; readonly command: Uint8Array};
