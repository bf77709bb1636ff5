import type {InstanceComponents} from './instance_components.js';

/**
 * Reads the current values of an instance's gauges; called at each scrape of
 * the metrics.
 *
 * @param components - Components of the instance.
 * @returns Gauge values by metric name, without the common name prefix.
 * @throws Never.
 * @example
 * metrics.addGauges(() => gaugesOf(components));
 */
export function gaugesOf(
  components: InstanceComponents,
): Record<string, number> {
  const {counts} = components.keeper;
  return {
    release: components.store.state.release,
    cut_off: components.isCutOff ? 1 : 0,
    callers_in_progress: components.callerApp.inProgress,
    forwards: components.router.forwards,
    claims: components.claimTable.size,
    claim_kept_bytes: components.claimTable.keptBytes,
    claim_answers_dropped: components.claimTable.droppedAnswers,
    target_sends: counts.sends,
    target_busy_refusals: counts.busyRefusals,
    target_unreachable: counts.unreachable,
    target_retries: counts.retries,
    target_hedges: counts.hedges,
    target_ejections: counts.ejections,
    live_peers: components.membership.livePeers().length,
  };
}
