import type {Resources, ScheduledJob} from '@papayarun/protocol';
import type {TargetLane} from './target_lane.js';

/**
 * Tasks of a job's first step that its targets hold when nothing else runs.
 *
 * @param job - The job.
 * @param lanes - All targets.
 * @returns A count.
 * @throws Never.
 * @example
 * roomFor(job, lanes.values()); // 2 on a target of 32 cores, for 14 a task
 */
export function roomFor(
  job: ScheduledJob,
  lanes: Iterable<TargetLane>,
): number {
  const {needs} = job.steps[0]!;
  let room = 0;
  for (const {isOpen, report} of lanes) {
    if (isOpen && report.service === job.service) {
      room += timesIn(needs, report.capacity);
    }
  }
  return room;
}

function timesIn(needs: Resources, capacity: Resources): number {
  const times = [
    [needs.cores, capacity.cores],
    [needs.memoryMb, capacity.memoryMb],
    [needs.accelerators, capacity.accelerators],
  ].map(([need, has]) => (need! > 0 ? Math.floor(has! / need!) : Infinity));
  // A task that needs nothing counts as one for each target.
  const least = Math.min(...times);
  return least === Infinity ? 1 : least;
}
