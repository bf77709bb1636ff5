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
 * What a replica needs.
 */
export interface ReplicaOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly disk: Disk;
  readonly log: EventLog;
  /** Instances that have a disk, with this one. */
  readonly replicaInstances: readonly InstanceId[];
  /** Lower bound of the election timeout; the upper one is twice as much. */
  readonly electionTimeoutMs: number;
  /** Entries after which the journal is compacted. */
  readonly compactAfter: number;
  readonly makeReplicaId: () => ReplicaId;
  /** Applies a committed command, empty for entries of the log itself. */
  readonly apply: (index: number, command: Uint8Array) => Uint8Array;
  /** Puts a state in place of the present one. */
  readonly restore: (index: number, state: Uint8Array) => void;
  /** The present state. */
  readonly serialize: () => Uint8Array;
  /** Highest command index the instance holds, from any source. */
  readonly stateIndex: () => number;
}
