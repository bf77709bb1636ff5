import type {Admission} from './admission.js';
import type {JobProspect} from './job_prospect.js';

/** Bound of the waiting jobs, so that memory is bounded; SETTINGS.md. */
const MAX_WAITING_JOBS = 2_000;
/** Shortest time after which a caller is asked to come back, in ms. */
const MIN_RETRY_AFTER_MS = 250;

/**
 * Decides whether a job is taken or refused at once.
 *
 * @description Load pattern: a kind arrives faster than it can be served for
 * seconds. Taking everything makes every job late; taking only what is
 * expected to meet its objective keeps all places busy with work that counts,
 * and tells the others at once.
 * @param prospect - Expected finish and the times left.
 * @returns Whether it is taken, else when to come back.
 * @throws Never.
 * @example
 * admitJob({places: 8, finishMs: 90, objectiveLeftMs: 150,
 *   callerLeftMs: 1_400, waitingJobs: 0}); // {kind: 'admitted'}
 */
export function admitJob(prospect: JobProspect): Admission {
  const {finishMs, objectiveLeftMs, callerLeftMs} = prospect;
  if (prospect.places === 0) {
    return refuse('noTargets', MIN_RETRY_AFTER_MS);
  }
  if (prospect.waitingJobs >= MAX_WAITING_JOBS) {
    return refuse('tooMany', finishMs);
  }
  const limitMs = Math.min(objectiveLeftMs, callerLeftMs);
  return finishMs <= limitMs
    ? {kind: 'admitted'}
    : refuse('tooLate', finishMs - limitMs);
}

function refuse(
  reason: Extract<Admission, {kind: 'refused'}>['reason'],
  afterMs: number,
): Admission {
  const retryAfterMs = Number.isFinite(afterMs)
    ? Math.max(MIN_RETRY_AFTER_MS, Math.ceil(afterMs))
    : MIN_RETRY_AFTER_MS;
  return {kind: 'refused', reason, retryAfterMs};
}
