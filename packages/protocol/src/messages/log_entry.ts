import type {ReplicaSet} from './replica_set.js';

/**
 * One entry of the replicated log.
 */
export type LogEntry =
  | {readonly kind: 'noop'; readonly index: number; readonly term: number}
  | {
      readonly kind: 'replicas';
      readonly index: number;
      readonly term: number;
      readonly replicas: ReplicaSet;
    }
  | {
      readonly kind: 'command';
      readonly index: number;
      readonly term: number;
      readonly command: Uint8Array;
    };
