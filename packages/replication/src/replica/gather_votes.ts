import type {InstanceId, ReplicaRef, VoteCall} from '@papayarun/protocol';
import {isQuorum} from '../quorum/is_quorum.js';
import type {ReplicaLog} from '../replica_log/replica_log.js';
import type {ReplicaOptions} from './replica_options.js';

/** Reply of a voter to a vote request. */
type VoteReply = 'granted' | 'rejected' | 'unanswered';

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
  const replies = new Map<InstanceId, VoteReply>();
  let granted = voters.length - others.length;
  const responses = others.map(async ref => {
    const reply = await requestVote(opts, log, round, ref);
    replies.set(ref.instanceId, reply);
    granted += Number(reply === 'granted');
    if (!isQuorum(granted, voters.length)) {
      throw new Error('no majority yet');
    }
  });
  if (isQuorum(granted, voters.length)) {
    return true;
  }
  return Promise.any(responses).then(
    () => true,
    () => {
      opts.log.emit('electionLost', {
        term: round.term,
        isPreVote: round.isPreVote,
        granted,
        voters: voters.length,
        replies: Object.fromEntries(replies),
      });
      return false;
    },
  );
}

async function requestVote(
  {network, electionTimeoutMs}: ReplicaOptions,
  log: ReplicaLog,
  {term, isPreVote, onHigherTerm}: VoteRound,
  {instanceId, replicaId}: ReplicaRef,
): Promise<VoteReply> {
  const req: VoteCall['req'] = {
    to: replicaId,
    candidate: log.replicaId,
    pre: isPreVote,
    term,
    lastIndex: log.lastIndex,
    lastTerm: log.lastTerm,
  };
  let res: VoteCall['res'];
  try {
    res = await network.call(instanceId, 'vote', req, {
      timeoutMs: electionTimeoutMs / 2,
    });
  } catch {
    return 'unanswered';
  }
  if (res.term > log.term) {
    await onHigherTerm(res.term);
  }
  return res.granted ? 'granted' : 'rejected';
}
