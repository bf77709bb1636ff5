import type {CallerId, KindId, ServiceId, TeamId} from '@papayarun/protocol';

/**
 * Dispatch rules of the release in force.
 */
export interface Policy {
  /** Number of the release in force. */
  release(): number;
  /** Relative share of slots that a kind of work is guaranteed. */
  weightOf(kind: KindId): number;
  /** Sum of the weights of all declared kinds. */
  totalWeight(): number;
  /** Largest fraction of the slots of a pool that a team may use, 0 to 1. */
  teamFraction(team: TeamId): number;
  /** Largest fraction of the slots of a pool that a caller may use, 0 to 1. */
  callerFraction(caller: CallerId): number;
  /** Whether a cut-off instance, whose configuration may be old, serves a service. */
  whenCutOff(service: ServiceId): 'serve' | 'refuse';
}
