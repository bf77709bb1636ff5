import type {InstanceId, SubmissionId} from '@papayarun/protocol';

/**
 * Name of a submission.
 *
 * @param instance - Instance that submits.
 * @param n - Number of the submission there.
 * @returns The name, from which `instanceOfSubmission` reads the instance.
 * @throws Never.
 * @example
 * submissionIdOf('10.0.1.4:7720', 7); // '10.0.1.4:7720/7'
 */
export function submissionIdOf(instance: InstanceId, n: number): SubmissionId {
  return `${instance}/${n}` as SubmissionId;
}
