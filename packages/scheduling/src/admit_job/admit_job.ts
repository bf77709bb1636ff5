import type {JobQuote} from '@papayarun/protocol';
import {EMPTY_QUOTE} from '@papayarun/protocol';
import type {Admission} from './admission.js';
import type {JobForecast} from './job_forecast.js';

/** Most waiting jobs, which bounds the memory that they take. */
const MAX_WAITING_JOBS = 2_000;
/**
 * Lag of the event loop from which late jobs are no longer admitted, in
 * milliseconds. Orders of late jobs would delay those of all others.
 */
const MAX_LAG_FOR_LATE_JOBS_MS = 20;
/** Shortest time after which a caller is asked to retry, in milliseconds. */
const MIN_RETRY_AFTER_MS = 250;
/**
 * Share of its slack that the narrowest job may spend waiting, so that wide
 * jobs get slots too.
 */
const NARROW_SLACK_SHARE = 0.6;
/**
 * Width of a job, as a share of the slots, from which it may use all of its
 * slack.
 */
const WIDE_JOB_SHARE = 0.25;
/** Largest share of the slots that more urgent work is assumed to take. */
const MAX_URGENT_SHARE = 0.8;
/**
 * Number of waiting jobs per slot from which late jobs are no longer admitted.
 */
const MAX_WAITING_PER_SLOT = 0.25;

/**
 * Decides whether a job is admitted or refused at once.
 *
 * @description When jobs of a kind arrive for seconds faster than they can be
 * served, admitting all of them makes every job late. Admitting only those that
 * are expected to meet their objective keeps all slots busy with useful work
 * and refuses the others without delay. Waiting times are extended by the share
 * of slots that more urgent work takes meanwhile. Narrow jobs may use only a
 * part of their slack, so that wide jobs, which wait for many slots, are
 * admitted too. While few jobs wait, the quote also allows an end that is
 * somewhat late: a late job goes behind the others and takes only slots that
 * they leave. The quote allows any end before the caller's deadline while a new
 * scheduler still discovers targets: the others report within a period, and
 * refusals would lose jobs that they have capacity for. If the event loop runs
 * late, the job has waited about that long before it was read, and its ends will
 * be read that much later.
 * @param forecast - Expected ends and the times left.
 * @returns Whether the job is admitted, else when to retry.
 * @throws Never.
 * @example
 * admitJob({slots: 8, criticalPathMs: 60, endsMs: [60, 90], urgentShare: 0,
 *   objectiveTimeLeftMs: 150, usefulTimeLeftMs: 225, callerTimeLeftMs: 1_400,
 *   loopLagMs: 0, waitingJobs: 0, isDiscoveringTargets: false});
 */
export function admitJob(forecast: JobForecast): Admission {
  const {slots, criticalPathMs, callerTimeLeftMs, loopLagMs} = forecast;
  const objectiveTimeLeftMs = forecast.objectiveTimeLeftMs - loopLagMs;
  if (slots === 0) {
    return refuse('noTargets', MIN_RETRY_AFTER_MS, EMPTY_QUOTE);
  }
  const freeShare = 1 - Math.min(MAX_URGENT_SHARE, forecast.urgentShare);
  const endsMs = forecast.endsMs.map(endMs => {
    const waitMs = Math.max(0, endMs - criticalPathMs);
    return endMs + waitMs / freeShare - waitMs + loopLagMs;
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
    return refuse('tooMany', lateMs, EMPTY_QUOTE);
  }
  return lateMs > 0
    ? refuse('tooLate', lateMs, quote)
    : {kind: 'admitted', quote};
}

/**
 * Time until which a late end is still of use, in milliseconds; 0 if none is.
 */
function latestUsefulEnd(forecast: JobForecast): number {
  const {slots, callerTimeLeftMs, usefulTimeLeftMs, waitingJobs} = forecast;
  if (forecast.isDiscoveringTargets) {
    return callerTimeLeftMs;
  }
  const hasSpareTime =
    waitingJobs < MAX_WAITING_PER_SLOT * slots &&
    forecast.loopLagMs < MAX_LAG_FOR_LATE_JOBS_MS;
  return hasSpareTime ? Math.min(callerTimeLeftMs, usefulTimeLeftMs) : 0;
}

function refuse(
  reason: Extract<Admission, {kind: 'refused'}>['reason'],
  delayMs: number,
  quote: JobQuote,
): Admission {
  const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.ceil(delayMs));
  return {kind: 'refused', reason, retryAfterMs, quote};
}
