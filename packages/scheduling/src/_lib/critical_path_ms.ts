import type {ScheduledStep} from '@papayarun/protocol';

/**
 * Expected duration of a job's critical path, the longest chain of dependent
 * steps.
 *
 * @param steps - Steps; each depends on earlier ones only.
 * @param expectedMs - Expected run time of a task, by step, in milliseconds.
 * @returns The duration in milliseconds.
 * @throws Never.
 * @example
 * criticalPathMs(job.steps, [60]); // 60
 */
export function criticalPathMs(
  steps: readonly ScheduledStep[],
  expectedMs: readonly number[],
): number {
  const endMs: number[] = [];
  steps.forEach((step, i) => {
    const startMs = Math.max(0, ...step.after.map(n => endMs[n] ?? 0));
    endMs.push(startMs + expectedMs[i]!);
  });
  return Math.max(0, ...endMs);
}
