import type {ScheduledStep} from '@papayarun/protocol';

/**
 * Number of tasks of a job, or of a part of one.
 *
 * @param steps - Its steps.
 * @returns The number.
 * @throws Never.
 * @example
 * taskCount([{count: 4}, {count: 20}]); // 24
 */
export function taskCount(
  steps: ReadonlyArray<Pick<ScheduledStep, 'count'>>,
): number {
  return steps.reduce((sum, {count}) => sum + count, 0);
}
