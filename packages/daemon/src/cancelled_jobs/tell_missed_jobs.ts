import type {CancelledJob, InstanceId, PeerNetwork} from '@papayarun/protocol';

/** Most jobs in a notice. */
const MAX_JOBS_PER_NOTICE = 4_096;

/**
 * Tells an instance with a new link of the jobs that were cancelled before.
 *
 * @param network - Links of this instance.
 * @param peer - The instance.
 * @param jobs - The jobs; nothing is sent for none.
 * @throws Never.
 * @example
 * tellMissedJobs(network, peer, table.list());
 */
export function tellMissedJobs(
  network: Pick<PeerNetwork, 'notify'>,
  peer: InstanceId,
  jobs: readonly CancelledJob[],
): void {
  for (let n = 0; n < jobs.length; n += MAX_JOBS_PER_NOTICE) {
    const page = jobs.slice(n, n + MAX_JOBS_PER_NOTICE);
    network.notify(peer, 'cancelledJobs', {jobs: page});
  }
}
