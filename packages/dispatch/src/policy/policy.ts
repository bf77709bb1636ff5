import type {CallerId, KindId, ServiceId, TeamId} from '@papayarun/protocol';

/**
 * What the release in force says about dispatching.
 */
export interface Policy {
  /** Number of the release. */
  release(): number;
  /** Relative share of slots that a kind of work is guaranteed. */
  weightOf(kind: KindId): number;
  /** Sum of the weights of all declared kinds. */
  totalWeight(): number;
  /** Largest part of a pool's slots that a team may hold, 0 to 1. */
  teamFraction(team: TeamId): number;
  /** Largest part of a pool's slots that a caller may hold, 0 to 1. */
  callerFraction(caller: CallerId): number;
  /** Whether a service is served from a configuration that may be old. */
  whenCutOff(service: ServiceId): 'serve' | 'refuse';
}
