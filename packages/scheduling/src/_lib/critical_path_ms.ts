import type {ScheduledStep} from '@papayarun/protocol';

/**
 * Expected time of the longest chain of steps that wait for each other.
 *
 * @param steps - Steps; each waits for earlier ones only.
 * @param expectedMs - Expected run time of a task, by step.
 * @returns Milliseconds.
 * @throws Never.
 * @example
 * longestChain(job.steps, [60]); // 60
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
