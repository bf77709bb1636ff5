import type {Membership} from '@papayarun/membership';
import type {DataCentreId} from '@papayarun/protocol';
import type {EntryCandidate} from './entry_candidate.js';

/**
 * Live entry instances by data centre, as their heartbeats describe them.
 *
 * @param membership - Membership of a state instance.
 * @returns The entry instances of each data centre that has any.
 * @throws Never.
 * @example
 * const candidates = entryCandidates(membership).get(dataCentre) ?? [];
 */
export function entryCandidates(
  membership: Pick<Membership, 'livePeers'>,
): Map<DataCentreId, EntryCandidate[]> {
  const byDataCentre = new Map<DataCentreId, EntryCandidate[]>();
  for (const {instanceId, heartbeat} of membership.livePeers()) {
    const {role, dataCentre, boot, state, maxTargets} = heartbeat;
    if (role === 'entry') {
      const candidates = byDataCentre.get(dataCentre) ?? [];
      candidates.push({instanceId, boot, state, maxTargets});
      byDataCentre.set(dataCentre, candidates);
    }
  }
  return byDataCentre;
}
