import {fingerprint} from '@papayarun/protocol';
import type {InstanceComponents} from './instance_components.js';

/**
 * Builds the status report of an instance for the operator API.
 *
 * @param components - Components of the instance.
 * @returns The report, serializable as JSON.
 * @throws Never.
 * @example
 * const status = statusOf(components);
 */
export function statusOf(
  components: InstanceComponents,
): Record<string, unknown> {
  const {state} = components.store;
  return {
    instanceId: components.self,
    dataCentre: components.dataCentre,
    boot: components.membership.boot,
    state: components.state,
    release: state.release,
    stateIndex: components.store.index,
    stateDigest: fingerprint(components.store.serialize()),
    cutOff: components.isCutOff,
    view: state.views[components.dataCentre],
    seat: claimViewStateOf(components),
    replica: components.replica?.status(),
    linked: components.network.connectedPeers(),
    callersPort: components.callerApp.port,
  };
}

function claimViewStateOf({
  viewMembership,
}: InstanceComponents): 'synced' | 'joining' | 'none' {
  if (viewMembership.isSynced()) {
    return 'synced';
  }
  return viewMembership.viewIfMember() ? 'joining' : 'none';
}
