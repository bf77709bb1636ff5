import type {JobOutcome} from '@papayarun/protocol';

/**
 * Whether runs of a submission may go on after its outcome.
 *
 * @param outcome - The outcome.
 * @returns True if they were handed over, or not all of them are known to have
 *   ended.
 * @throws Never.
 * @example
 * mayRunOn({kind: 'completed', samples: []}); // false
 */
export function mayRunOn(outcome: JobOutcome): boolean {
  switch (outcome.kind) {
    case 'handedOver':
      return true;
    case 'failed':
      return outcome.mayRun === true;
    case 'completed':
    case 'refused':
      return false;
    default:
      return outcome satisfies never;
  }
}
