import type {Resources, ScheduledJob} from '@papayarun/protocol';
import {addResources, fitsIn} from '@papayarun/protocol';
import type {TargetLane} from './target_lane.js';

/**
 * Time until each place for tasks of a job's first step is free.
 *
 * @description A place is room for one task of this size: a target that runs
 * two small tasks may have to end both before a large one fits.
 * @param job - The job.
 * @param lanes - All targets.
 * @param nowMs - Monotonic time.
 * @returns Milliseconds for each place, 0 for a free one; no more on one target
 *   than the job has tasks.
 * @throws Never.
 * @example
 * placesFor(job, lanes.values(), clock.now());
 */
export function placesFor(
  job: ScheduledJob,
  lanes: Iterable<TargetLane>,
  nowMs: number,
): number[] {
  const {service, steps} = job;
  const tasks = steps.reduce((sum, step) => sum + step.count, 0);
  const {needs} = steps[0]!;
  const places: number[] = [];
  for (const lane of lanes) {
    if (lane.isOpen && lane.report.service === service) {
      places.push(...placesOn(lane, needs, tasks, nowMs));
    }
  }
  return places;
}

function placesOn(
  lane: TargetLane,
  needs: Resources,
  most: number,
  nowMs: number,
): number[] {
  const places: number[] = [];
  let free = lane.free();
  const take = (atMs: number): void => {
    while (places.length < most && fitsIn(needs, free)) {
      places.push(atMs);
      free = addResources(free, needs, -1);
    }
  };
  take(0);
  for (const {atMs, freed} of lane.endsAhead(nowMs)) {
    free = addResources(free, freed, 1);
    take(atMs);
  }
  return places;
}
