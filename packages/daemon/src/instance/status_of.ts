import {fingerprint} from '@papayarun/protocol';
import type {InstanceParts} from './instance_parts.js';

/**
 * State of an instance, as operators see it.
 *
 * @param parts - Its components.
 * @returns Data for JSON.
 * @throws Never.
 * @example
 * const status = statusOf(parts);
 */
export function statusOf(parts: InstanceParts): Record<string, unknown> {
  const {state} = parts.store;
  return {
    instanceId: parts.self,
    dataCentre: parts.dataCentre,
    boot: parts.membership.boot,
    state: parts.state,
    release: state.release,
    stateIndex: parts.store.index,
    stateDigest: fingerprint(parts.store.serialize()),
    cutOff: parts.isCutOff,
    view: state.views[parts.dataCentre],
    seat: seatOf(parts),
    replica: parts.replica?.status(),
    linked: parts.network.linked(),
    callersPort: parts.callers.port,
  };
}

function seatOf({seat}: InstanceParts): 'synced' | 'joining' | 'none' {
  if (seat.isSynced()) {
    return 'synced';
  }
  return seat.memberView() ? 'joining' : 'none';
}
