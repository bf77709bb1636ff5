import type {Resources, ScheduledJob} from '@papayarun/protocol';
import type {TargetSession} from './target_session.js';

/**
 * Tasks of a job's first step that its targets hold when nothing else runs.
 *
 * @param job - The job.
 * @param sessions - All targets.
 * @returns A count.
 * @throws Never.
 * @example
 * roomFor(job, lanes.values()); // 2 on a target of 32 cores, for 14 a task
 */
export function totalSlots(
  job: ScheduledJob,
  sessions: Iterable<TargetSession>,
): number {
  const {needs} = job.steps[0]!;
  let slots = 0;
  for (const {isAvailable, report} of sessions) {
    if (isAvailable && report.service === job.service) {
      slots += slotsIn(needs, report.capacity);
    }
  }
  return slots;
}

function slotsIn(needs: Resources, capacity: Resources): number {
  const slotsByResource = [
    [needs.cores, capacity.cores],
    [needs.memoryMb, capacity.memoryMb],
    [needs.accelerators, capacity.accelerators],
  ].map(([need, has]) => (need! > 0 ? Math.floor(has! / need!) : Infinity));
  // A task that needs nothing counts as one for each target.
  const slots = Math.min(...slotsByResource);
  return slots === Infinity ? 1 : slots;
}
