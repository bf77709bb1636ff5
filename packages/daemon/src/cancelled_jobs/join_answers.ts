import type {CancelJobsCall, InstanceId, JobId} from '@papayarun/protocol';
import type {CancellationRound} from './cancellation_round.js';

/**
 * Joins the answers of the state instances to a round. Each of them knows the entry
 * instances that it has heard; one that any of them has reached has confirmed.
 *
 * @param answers - Answers, undefined for a state instance without one.
 * @returns The result of the round; not confirmed without any answer.
 * @throws Never.
 * @example
 * joinAnswers([undefined]).isConfirmed; // false
 */
export function joinAnswers(
  answers: ReadonlyArray<CancelJobsCall['res'] | undefined>,
): CancellationRound {
  const confirmed = new Set<InstanceId>();
  const found = new Set<JobId>();
  for (const answer of answers) {
    answer?.confirmed.forEach(id => confirmed.add(id));
    answer?.found.forEach(id => found.add(id));
  }
  const isConfirmed =
    answers.length > 0 &&
    answers.every(
      answer =>
        answer?.accepted && answer.unconfirmed.every(id => confirmed.has(id)),
    );
  return {isConfirmed, found};
}
