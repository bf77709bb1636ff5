import {isQuorum} from '../quorum/is_quorum.js';
import type {ReplicaLog} from '../replica_log/replica_log.js';
import type {ReplicaOptions} from './replica_options.js';

/** A candidacy: what is asked, and whom to tell of a higher term. */
export interface Candidacy {
  readonly term: number;
  /** Whether only the readiness to vote is asked for. */
  readonly pre: boolean;
  readonly onHigherTerm: (term: number) => Promise<void>;
}

/**
 * Asks all other voters for their votes.
 *
 * @param opts - Network and timeouts.
 * @param log - The candidate's log.
 * @param candidacy - Term and kind of vote.
 * @returns Whether a majority, with the candidate, agrees.
 * @throws Never.
 * @example
 * const won = await gatherVotes(opts, log, candidacy);
 */
export async function gatherVotes(
  opts: ReplicaOptions,
  log: ReplicaLog,
  candidacy: Candidacy,
): Promise<boolean> {
  const {voters} = log.replicas;
  const others = voters.filter(ref => ref.replicaId !== log.replicaId);
  let granted = voters.length - others.length;
  const answers = others.map(async ref => {
    const req = {
      to: ref.replicaId,
      candidate: log.replicaId,
      pre: candidacy.pre,
      term: candidacy.term,
      lastIndex: log.lastIndex,
      lastTerm: log.lastTerm,
    };
    const timeoutMs = opts.electionTimeoutMs / 2;
    const res = await opts.network.call(ref.instanceId, 'vote', req, {
      timeoutMs,
    });
    granted += res.granted ? 1 : 0;
    if (res.term > log.term) {
      await candidacy.onHigherTerm(res.term);
    }
    if (!isQuorum(granted, voters.length)) {
      throw new Error('no majority yet');
    }
  });
  if (isQuorum(granted, voters.length)) {
    return true;
  }
  return Promise.any(answers).then(
    () => true,
    () => false,
  );
}
