import type {DataCentreId, InstanceId} from '@papayarun/protocol';
import {rendezvousOrder} from '@papayarun/protocol';

/**
 * Selects the instances that are told of the jobs in flight at an instance: one of
 * its data centre, where its callers come back, and one of another data centre,
 * which is left when both are lost at once. Where there is none of its own, of two
 * others.
 *
 * @param self - The instance.
 * @param dataCentre - Its data centre.
 * @param peers - Linked instances that may be selected, with their data centre.
 * @returns At most two of them.
 * @throws Never.
 * @example
 * selectBackups(self, centro, new Map([[centro2, centro], [serra1, serra]]));
 */
export function selectBackups(
  self: InstanceId,
  dataCentre: DataCentreId,
  peers: ReadonlyMap<InstanceId, DataCentreId>,
): InstanceId[] {
  const ordered = rendezvousOrder(self, [...peers.keys()]);
  const first = ordered.find(id => peers.get(id) === dataCentre) ?? ordered[0];
  if (first === undefined) {
    return [];
  }
  const second =
    ordered.find(id => peers.get(id) !== peers.get(first)) ??
    ordered.find(id => id !== first);
  return second === undefined ? [first] : [first, second];
}
