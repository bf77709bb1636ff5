import type {JobQuote} from '@papayarun/protocol';
import {NO_QUOTE} from '@papayarun/protocol';
import type {Admission} from './admission.js';
import type {JobForecast} from './job_forecast.js';

/** Bound of the waiting jobs, so that memory is bounded; a count. */
const MAX_WAITING_JOBS = 2_000;
/** Shortest time after which a caller is asked to come back, in ms. */
const MIN_RETRY_AFTER_MS = 250;
/** Share of its slack that the narrowest job may spend waiting. */
const NARROW_SLACK_SHARE = 0.6;
/** Width, as a share of the places, from which all of the slack counts. */
const WIDE_JOB_SHARE = 0.25;
/** Most that urgent work is taken to slow down the rest, as a share. */
const MAX_URGENT_SHARE = 0.8;
/** Waiting jobs for each place from which late jobs are no longer taken. */
const MAX_WAITING_PER_SLOT = 0.25;

/**
 * Decides whether a job is taken or refused at once.
 *
 * @description Load pattern: a kind arrives faster than it can be served for
 * seconds. Taking everything makes every job late; taking only what is
 * expected to meet its objective keeps all places busy with work that counts,
 * and tells the others at once. Waiting is stretched by the share of places
 * that more urgent work takes meanwhile. Narrow jobs may use a part of their
 * slack only, so that wide ones, which wait for many places, get in too. While
 * little waits, a job that will be somewhat late may be taken as well: it goes
 * behind the others and takes only places that they leave. The same holds while
 * a new scheduler has heard of few targets yet: the others report within a
 * period, and refusals would lose jobs that they have room for.
 * @param forecast - Expected ends and the times left.
 * @returns Whether it is taken, else when to come back.
 * @throws Never.
 * @example
 * admitJob({places: 8, chainMs: 60, endsMs: [60, 90], busyAbove: 0,
 *   objectiveLeftMs: 150, callerLeftMs: 1_400, waitingJobs: 0});
 */
export function admitJob(forecast: JobForecast): Admission {
  const {slots, criticalPathMs, objectiveTimeLeftMs, callerTimeLeftMs} =
    forecast;
  if (slots === 0) {
    return refuse('noTargets', MIN_RETRY_AFTER_MS, NO_QUOTE);
  }
  const freeShare = 1 - Math.min(MAX_URGENT_SHARE, forecast.urgentShare);
  const endsMs = forecast.endsMs.map(endMs => {
    const waitMs = Math.max(0, endMs - criticalPathMs);
    return endMs + waitMs / freeShare - waitMs;
  });
  const relativeWidth = endsMs.length / Math.max(1, slots * WIDE_JOB_SHARE);
  const slackShare =
    NARROW_SLACK_SHARE + (1 - NARROW_SLACK_SHARE) * Math.min(1, relativeWidth);
  const slackMs = Math.max(0, objectiveTimeLeftMs - criticalPathMs);
  const limitMs = Math.min(
    objectiveTimeLeftMs < criticalPathMs
      ? objectiveTimeLeftMs
      : criticalPathMs + slackShare * slackMs,
    callerTimeLeftMs,
  );
  const quote = {endsMs, limitMs, latestMs: latestUsefulEnd(forecast)};
  const lateMs = Math.max(...endsMs) - limitMs;
  if (forecast.waitingJobs >= MAX_WAITING_JOBS) {
    return refuse('tooMany', lateMs, NO_QUOTE);
  }
  return lateMs > 0
    ? refuse('tooLate', lateMs, quote)
    : {kind: 'admitted', quote};
}

/** Time until which an end is late but still of use, in milliseconds. */
function latestUsefulEnd(forecast: JobForecast): number {
  const {slots, callerTimeLeftMs, usefulTimeLeftMs, waitingJobs} = forecast;
  if (forecast.isDiscoveringTargets) {
    return callerTimeLeftMs;
  }
  const isQueueShort = waitingJobs < MAX_WAITING_PER_SLOT * slots;
  return isQueueShort ? Math.min(callerTimeLeftMs, usefulTimeLeftMs) : 0;
}

function refuse(
  reason: Extract<Admission, {kind: 'refused'}>['reason'],
  delayMs: number,
  quote: JobQuote,
): Admission {
  const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.ceil(delayMs));
  return {kind: 'refused', reason, retryAfterMs, quote};
}
