import type {InstanceId, SubmissionId} from '@papayarun/protocol';

/**
 * Name of a submission.
 *
 * @param instance - Instance that submits.
 * @param process - Number of its process, by which restarts differ.
 * @param n - Number of the submission there.
 * @returns The name, from which `processOfSubmission` reads the first two.
 * @throws Never.
 * @example
 * submissionIdOf('10.0.1.4:7720', 81, 7); // '10.0.1.4:7720/81/7'
 */
export function submissionIdOf(
  instance: InstanceId,
  process: number,
  n: number,
): SubmissionId {
  return `${instance}/${process}/${n}` as SubmissionId;
}
