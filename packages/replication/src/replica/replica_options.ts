import type {
  Clock,
  EventLog,
  InstanceId,
  PeerNetwork,
  RandomSource,
  ReplicaId,
} from '@papayarun/protocol';
import type {Disk} from '../disk/disk.js';

/**
 * Options of a replica.
 */
export interface ReplicaOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly disk: Disk;
  readonly log: EventLog;
  /** Instances that have a disk, including this one. */
  readonly replicaInstances: readonly InstanceId[];
  /** Lower bound of the random election timeout; the upper bound is twice this value. */
  readonly electionTimeoutMs: number;
  /** Number of log entries at which the journal is compacted. */
  readonly compactAfterEntries: number;
  /**
   * Size of the journal beyond its snapshot at which it is compacted, in bytes,
   * unless the snapshot is larger. The disk has to hold two snapshots and this.
   */
  readonly compactAfterBytes: number;
  readonly makeReplicaId: () => ReplicaId;
  /** Problem of a command that could not be applied, if it has one. */
  readonly problemOf: (command: Uint8Array) => string | undefined;
  /** Applies a committed command; it is empty for no-op and membership entries. */
  readonly apply: (index: number, command: Uint8Array) => Uint8Array;
  /** Replaces the current state by that of a snapshot. */
  readonly restore: (index: number, state: Uint8Array) => void;
  /** Serializes the current state for a snapshot. */
  readonly serialize: () => Uint8Array;
  /** Highest command index that the instance has applied, from any source. */
  readonly stateIndex: () => number;
}
