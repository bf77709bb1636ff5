import type {Resources, ScheduledJob} from '@papayarun/protocol';
import type {TargetSession} from './target_session.js';

/**
 * Number of slots for tasks of a job's first step on its targets, busy or free.
 *
 * @param job - The job.
 * @param sessions - Sessions with all targets.
 * @returns The number of tasks that idle targets could run at once.
 * @throws Never.
 * @example
 * totalSlots(job, sessions.values()); // 2: 32 cores, 14 a task
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
  // A task that needs no resources gets one slot on each target.
  const slots = Math.min(...slotsByResource);
  return slots === Infinity ? 1 : slots;
}
