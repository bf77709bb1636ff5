import type {BootId, InstanceId} from '@papayarun/protocol';
import type {SchedulerGrant} from '@papayarun/releases';

/**
 * An entry instance that may hold a data centre's grant.
 */
interface Candidate {
  readonly instanceId: InstanceId;
  readonly boot: BootId;
  readonly state: 'starting' | 'ready' | 'draining';
}

/**
 * Entry that should be granted a data centre's scheduler next.
 *
 * @description A holder that is alive in the incarnation that was granted
 * keeps the grant, unless it drains and another entry is ready.
 * @param held - Grant in force.
 * @param live - Live entries of the data centre.
 * @returns The entry to grant it to, or undefined to leave it as it is.
 * @throws Never.
 * @example
 * nextGrant(undefined, [entry]); // entry
 */
export function nextGrant(
  held: SchedulerGrant | undefined,
  live: readonly Candidate[],
): Candidate | undefined {
  const holder = live.find(
    entry => entry.instanceId === held?.instanceId && entry.boot === held.boot,
  );
  if (holder && holder.state !== 'draining') {
    return undefined;
  }
  const ready = live
    .filter(entry => entry.state === 'ready' && entry !== holder)
    .sort((a, b) => (a.instanceId < b.instanceId ? -1 : 1));
  // A restarted holder has lost its connections: others first.
  return ready.find(entry => entry.instanceId !== held?.instanceId) ?? ready[0];
}
