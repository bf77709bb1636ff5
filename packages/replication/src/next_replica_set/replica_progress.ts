import type {ReplicaId} from '@papayarun/protocol';

/**
 * What a leader knows of the other members of the log.
 */
export interface ReplicaProgress {
  /** Whether a learner holds every committed entry. */
  readonly isCaughtUp: (id: ReplicaId) => boolean;
  /** Whether a member has not acknowledged the leader for long. */
  readonly isSilent: (id: ReplicaId) => boolean;
}
