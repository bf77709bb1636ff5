import {isQuorum} from '../quorum/is_quorum.js';
import type {ReplicaLog} from '../replica_log/replica_log.js';
import type {ReplicaOptions} from './replica_options.js';

/** One round of vote requests of a candidate. */
export interface VoteRound {
  readonly term: number;
  /** Whether the request is a pre-vote, which changes no state of the voters. */
  readonly isPreVote: boolean;
  /** Called when a response has a higher term than the log. */
  readonly onHigherTerm: (term: number) => Promise<void>;
}

/**
 * Requests the votes of all other voters.
 *
 * @param opts - Network and timeouts.
 * @param log - The candidate's log.
 * @param round - Term and kind of the votes.
 * @returns Whether a majority of the voters, counting the candidate, grants
 * its vote.
 * @throws Never.
 * @example
 * const won = await gatherVotes(opts, log, round);
 */
export async function gatherVotes(
  opts: ReplicaOptions,
  log: ReplicaLog,
  round: VoteRound,
): Promise<boolean> {
  const {voters} = log.replicas;
  const others = voters.filter(ref => ref.replicaId !== log.replicaId);
  let granted = voters.length - others.length;
  const responses = others.map(async ref => {
    const req = {
      to: ref.replicaId,
      candidate: log.replicaId,
      pre: round.isPreVote,
      term: round.term,
      lastIndex: log.lastIndex,
      lastTerm: log.lastTerm,
    };
    const timeoutMs = opts.electionTimeoutMs / 2;
    const res = await opts.network.call(ref.instanceId, 'vote', req, {
      timeoutMs,
    });
    granted += res.granted ? 1 : 0;
    if (res.term > log.term) {
      await round.onHigherTerm(res.term);
    }
    if (!isQuorum(granted, voters.length)) {
      throw new Error('no majority yet');
    }
  });
  if (isQuorum(granted, voters.length)) {
    return true;
  }
  return Promise.any(responses).then(
    () => true,
    () => false,
  );
}
