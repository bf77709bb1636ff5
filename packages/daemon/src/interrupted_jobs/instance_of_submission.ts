import type {InstanceId, SubmissionId} from '@papayarun/protocol';

/**
 * Instance that has submitted a job.
 *
 * @param submissionId - Name of the submission.
 * @returns The instance; the whole name if it has another form.
 * @throws Never.
 * @example
 * instanceOfSubmission('10.0.1.4:7720/7'); // '10.0.1.4:7720'
 */
export function instanceOfSubmission(submissionId: SubmissionId): InstanceId {
  const end = submissionId.lastIndexOf('/');
  const instance = end < 0 ? submissionId : submissionId.slice(0, end);
  return instance as string as InstanceId;
}
