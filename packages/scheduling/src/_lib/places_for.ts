import type {ScheduledJob} from '@papayarun/protocol';
import type {TargetLane} from './target_lane.js';

/**
 * Time until each place for tasks of a job's first step is free.
 *
 * @param job - The job.
 * @param lanes - All targets.
 * @param nowMs - Monotonic time.
 * @returns Milliseconds for each place, 0 for a free one; of free places no
 *   more on one target than the job has tasks.
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
    if (!lane.isOpen || lane.report.service !== service) {
      continue;
    }
    const free = lane.free();
    const count = Math.min(
      needs.cores > 0 ? Math.floor(free.cores / needs.cores) : Infinity,
      needs.memoryMb > 0
        ? Math.floor(free.memoryMb / needs.memoryMb)
        : Infinity,
      tasks,
    );
    for (let i = 0; i < count; i++) {
      places.push(0);
    }
    for (const run of lane.runs.values()) {
      places.push(Math.max(0, run.orderedMs + run.expectedMs - nowMs));
    }
  }
  return places;
}
