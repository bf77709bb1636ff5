import type {ScheduledJob} from '@papayarun/protocol';

/**
 * Splits a job of one step into parts.
 *
 * @param job - The job.
 * @param offers - Tasks that each scheduler could do in time.
 * @returns A part for each scheduler, undefined where it gets none; or
 *   undefined when the job has several steps or the offers don't suffice.
 * @throws Never.
 * @example
 * splitSteps(job, [5, 0, 3]); // parts of 5 and 3 tasks
 */
export function splitSteps(
  job: ScheduledJob,
  offers: readonly number[],
): Array<ScheduledJob | undefined> | undefined {
  const [step, ...others] = job.steps;
  const offered = offers.reduce((sum, offer) => sum + offer, 0);
  // A bound for each target can't be kept by schedulers apart.
  const isWhole = others.length > 0 || step!.maxPerTarget !== undefined;
  if (isWhole || offered < step!.count) {
    return undefined;
  }
  let firstIndex = step!.firstIndex;
  let left = step!.count;
  return offers.map(offer => {
    const count = Math.min(offer, left);
    if (count === 0) {
      return undefined;
    }
    const part = {...step!, count, firstIndex};
    firstIndex += count;
    left -= count;
    return {...job, steps: [part], isPromised: true};
  });
}
