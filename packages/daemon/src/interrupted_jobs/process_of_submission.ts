import type {RegistrationId, SubmissionId} from '@papayarun/protocol';

/**
 * Process that has submitted or registered a job.
 *
 * @param submissionId - Name of the submission or registration.
 * @returns Name of its instance and number of the process, or the instance alone
 *   if the name has no such number; the whole name if it has another form.
 * @throws Never.
 * @example
 * processOfSubmission('10.0.1.4:7720/81/7'); // '10.0.1.4:7720/81'
 */
export function processOfSubmission(
  submissionId: SubmissionId | RegistrationId,
): string {
  const end = submissionId.lastIndexOf('/');
  return end < 0 ? submissionId : submissionId.slice(0, end);
}
