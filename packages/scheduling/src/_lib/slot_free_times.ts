import type {Resources, ScheduledJob} from '@papayarun/protocol';
import {addResources, fitsIn} from '@papayarun/protocol';
import type {TargetSession} from './target_session.js';

/**
 * Time until each slot for tasks of a job's first step is free.
 *
 * @description A slot is capacity for one task of this size: a target that runs
 * two small tasks may have to end both before a large one fits.
 * @param job - The job.
 * @param sessions - Sessions with all targets.
 * @param nowMs - Monotonic time in milliseconds.
 * @param maxPerTarget - Most slots that are counted on one target: the number of
 *   tasks to place.
 * @param maxFree - Number of free slots from which no more targets are looked at.
 * @returns Milliseconds for each slot, 0 for a free one.
 * @throws Never.
 * @example
 * slotFreeTimes(job, sessions.values(), clock.now(), 8, 10);
 */
export function slotFreeTimes(
  job: ScheduledJob,
  sessions: Iterable<TargetSession>,
  nowMs: number,
  maxPerTarget: number,
  maxFree: number,
): number[] {
  const {service, steps} = job;
  const {needs} = steps[0]!;
  const freeTimesMs: number[] = [];
  let freeCount = 0;
  for (const session of sessions) {
    if (session.isAvailable && session.report.service === service) {
      for (const atMs of slotFreeTimesOn(session, needs, maxPerTarget, nowMs)) {
        freeTimesMs.push(atMs);
        freeCount += Number(atMs === 0);
      }
      if (freeCount >= maxFree) {
        break;
      }
    }
  }
  return freeTimesMs;
}

function slotFreeTimesOn(
  session: TargetSession,
  needs: Resources,
  maxSlots: number,
  nowMs: number,
): number[] {
  const freeTimesMs: number[] = [];
  let free = session.freeResources();
  const fillSlots = (atMs: number): void => {
    while (freeTimesMs.length < maxSlots && fitsIn(needs, free)) {
      freeTimesMs.push(atMs);
      free = addResources(free, needs, -1);
    }
  };
  fillSlots(0);
  for (const {atMs, freed} of session.expectedRunEnds(nowMs)) {
    free = addResources(free, freed, 1);
    fillSlots(atMs);
  }
  return freeTimesMs;
}
