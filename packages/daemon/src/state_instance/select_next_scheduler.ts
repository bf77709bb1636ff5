import type {BootId, InstanceId} from '@papayarun/protocol';
import type {SchedulerGrant} from '@papayarun/releases';

/**
 * An entry instance that can be granted the scheduler of its data centre.
 */
interface Candidate {
  readonly instanceId: InstanceId;
  readonly boot: BootId;
  readonly state: 'starting' | 'ready' | 'draining';
}

/**
 * Selects the entry instance to grant the scheduler of a data centre to.
 *
 * @description The holder keeps the grant while it is alive in the granted
 * incarnation, unless it drains and another entry instance is ready.
 * @param grant - Current grant of the data centre, if any.
 * @param liveEntries - Live entry instances of the data centre.
 * @returns The entry instance to grant it to, or undefined to change nothing.
 * @throws Never.
 * @example
 * selectNextScheduler(undefined, [entry]); // entry
 */
export function selectNextScheduler(
  grant: SchedulerGrant | undefined,
  liveEntries: readonly Candidate[],
): Candidate | undefined {
  const holder = liveEntries.find(
    peer => peer.instanceId === grant?.instanceId && peer.boot === grant.boot,
  );
  if (holder && holder.state !== 'draining') {
    return undefined;
  }
  const ready = liveEntries
    .filter(peer => peer.state === 'ready' && peer !== holder)
    .sort((a, b) => (a.instanceId < b.instanceId ? -1 : 1));
  // Other instances are preferred, since a restarted holder has lost its
  // connections.
  return ready.find(peer => peer.instanceId !== grant?.instanceId) ?? ready[0];
}
