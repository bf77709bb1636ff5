import type {JobQuote, ScheduledJob} from '@papayarun/protocol';

/**
 * Time by which a task has to end earlier at a remote scheduler than at the
 * nearest one to be placed there, in milliseconds: the round trip between two
 * data centres and the processing at both ends.
 */
const REMOTE_PENALTY_MS = 2;

/**
 * Splits a job over the schedulers of several data centres.
 *
 * @description When most slots are busy in each data centre, a wide job finds
 * few free slots in any one of them, though there are enough in all of them
 * together. Each task goes where it is expected to end first (list scheduling
 * over all quotes). If no split meets the limits of the quotes, one with a late
 * but useful end is used. Jobs that can't be split go whole to the scheduler
 * where they end first.
 * @param job - The job.
 * @param quotes - Quotes of the schedulers, the nearest one first.
 * @returns The part of each scheduler, undefined for one that gets none; or
 *   undefined if the job can't be done in time.
 * @throws Never.
 * @example
 * const quotes = [
 *   {endsMs: [60, 90], limitMs: 120, latestMs: 0},
 *   {endsMs: [60, 60], limitMs: 120, latestMs: 0},
 * ];
 * splitJob(jobOfTwoTasks, quotes); // one task at each scheduler
 */
export function splitJob(
  job: ScheduledJob,
  quotes: readonly JobQuote[],
): Array<ScheduledJob | undefined> | undefined {
  const lateQuotes = quotes.map(quote => ({...quote, limitMs: quote.latestMs}));
  return splitWithinLimits(job, quotes) ?? splitWithinLimits(job, lateQuotes);
}

/** Splits a job so that each task ends within the limit of its quote. */
function splitWithinLimits(
  job: ScheduledJob,
  quotes: readonly JobQuote[],
): Array<ScheduledJob | undefined> | undefined {
  const [step, ...others] = job.steps;
  // A limit of tasks per target needs a single scheduler to enforce it.
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

/** Assigns the whole job to the scheduler where it ends first. */
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
