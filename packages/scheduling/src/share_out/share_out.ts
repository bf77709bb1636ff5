import type {JobQuote, ScheduledJob} from '@papayarun/protocol';

/**
 * Time by which a task at a farther scheduler has to end earlier, in ms: the
 * round trip between two data centres, with the work at both ends.
 */
const REMOTE_PENALTY_MS = 2;

/**
 * Shares the tasks of a job out over schedulers.
 *
 * @description Load pattern: most places are busy in each data centre, so that
 * a wide job finds few free ones in any of them, though there are enough
 * together. Each task goes where it is expected to end first (list scheduling
 * over all quotes). When no split is in time, one that is late but of use is
 * taken. Jobs that can't be split go whole to the scheduler that
 * ends them first.
 * @param job - The job.
 * @param quotes - What each scheduler expects; the nearest one first.
 * @returns A part for each scheduler, undefined where it gets none; or
 *   undefined when the job could not be done in time.
 * @throws Never.
 * @example
 * const quotes = [
 *   {endsMs: [60, 90], limitMs: 120},
 *   {endsMs: [60, 60], limitMs: 120},
 * ];
 * shareOut(jobOfTwoTasks, quotes); // one task for each
 */
export function shareOut(
  job: ScheduledJob,
  quotes: readonly JobQuote[],
): Array<ScheduledJob | undefined> | undefined {
  const lateQuotes = quotes.map(quote => ({...quote, limitMs: quote.latestMs}));
  return splitWithinLimits(job, quotes) ?? splitWithinLimits(job, lateQuotes);
}

function splitWithinLimits(
  job: ScheduledJob,
  quotes: readonly JobQuote[],
): Array<ScheduledJob | undefined> | undefined {
  const [step, ...others] = job.steps;
  // A bound for each target can't be kept by schedulers apart.
  if (others.length > 0 || step!.maxPerTarget !== undefined) {
    return assignWhole(job, quotes);
  }
  const offers = quotes
    .flatMap(({endsMs, limitMs}, scheduler) =>
      endsMs
        .filter(endMs => endMs <= limitMs)
        .map(endMs => ({scheduler, endMs: endMs + remotePenaltyMs(scheduler)})),
    )
    .sort((a, b) => a.endMs - b.endMs || a.scheduler - b.scheduler)
    .slice(0, step!.count);
  if (offers.length < step!.count) {
    return undefined;
  }
  let firstIndex = step!.firstIndex;
  return quotes.map((_quote, scheduler) => {
    const {length: count} = offers.filter(o => o.scheduler === scheduler);
    if (count === 0) {
      return undefined;
    }
    const part = {...step!, count, firstIndex};
    firstIndex += count;
    return {...job, steps: [part], isPromised: true};
  });
}

function assignWhole(
  job: ScheduledJob,
  quotes: readonly JobQuote[],
): Array<ScheduledJob | undefined> | undefined {
  let best: {readonly scheduler: number; readonly endMs: number} | undefined;
  quotes.forEach(({endsMs, limitMs}, scheduler) => {
    const lastMs = Math.max(...endsMs);
    const endMs = lastMs + remotePenaltyMs(scheduler);
    const isInTime = endsMs.length > 0 && lastMs <= limitMs;
    if (isInTime && (!best || endMs < best.endMs)) {
      best = {scheduler, endMs};
    }
  });
  return (
    best &&
    quotes.map((_quote, scheduler) =>
      scheduler === best!.scheduler ? {...job, isPromised: true} : undefined,
    )
  );
}

function remotePenaltyMs(scheduler: number): number {
  return scheduler === 0 ? 0 : REMOTE_PENALTY_MS;
}
