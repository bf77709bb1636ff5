import type {InstanceParts} from './instance_parts.js';

/**
 * Values of an instance's gauges, read at each scrape.
 *
 * @param parts - Its components.
 * @returns Value by name, without the prefix.
 * @throws Never.
 * @example
 * metrics.addGauges(() => gaugesOf(parts));
 */
export function gaugesOf(parts: InstanceParts): Record<string, number> {
  const {counts} = parts.keeper;
  return {
    release: parts.store.state.release,
    cut_off: parts.isCutOff ? 1 : 0,
    callers_in_progress: parts.callers.inProgress,
    forwards: parts.router.forwards,
    claims: parts.table.size,
    claim_kept_bytes: parts.table.keptBytes,
    target_sends: counts.sends,
    target_busy_refusals: counts.busyRefusals,
    target_unreachable: counts.unreachable,
    target_retries: counts.retries,
    target_hedges: counts.hedges,
    target_ejections: counts.ejections,
    live_peers: parts.membership.livePeers().length,
  };
}
