import type {Heartbeat, InstanceRole} from '@papayarun/protocol';

/** Heartbeat intervals on links that no grant depends on. */
const SLOW_INTERVALS = 3;
/**
 * Heartbeat intervals between two entry instances. The leader notices the failure
 * of a scheduler sooner, and the next grant tells the other entry instances.
 */
const ENTRY_INTERVALS = 5;

/**
 * Number of heartbeat intervals between two heartbeats to a peer.
 *
 * @description Only the leader grants shards, so only its links need all
 * heartbeats. All others would cost most of the processor time of an idle instance.
 * @param ownRole - Role of this instance.
 * @param peer - Last heartbeat of the peer.
 * @returns The number of intervals, 1 for all heartbeats.
 * @throws Never.
 * @example
 * intervalsBetweenHeartbeats('entry', heartbeatOfLeader); // 1
 */
export function intervalsBetweenHeartbeats(
  ownRole: InstanceRole,
  peer: Pick<Heartbeat, 'role' | 'leads'>,
): number {
  if (peer.leads) {
    return 1;
  }
  return ownRole === 'entry' && peer.role === 'entry'
    ? ENTRY_INTERVALS
    : SLOW_INTERVALS;
}
