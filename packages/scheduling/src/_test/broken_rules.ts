import type {SimulatedCaller} from './simulated_caller.js';
import type {TargetSimulation} from './target_simulation.js';

/** Time beyond the deadline in which an answer may still come. */
const ANSWER_SLACK_MS = 200;

/**
 * Lists what was wrong with the runs and answers of some jobs.
 *
 * @param simulation - The simulation, after all callers have been answered.
 * @param callers - The callers of the jobs.
 * @returns One line for each broken rule; empty if there is none.
 */
export function brokenRules(
  simulation: TargetSimulation,
  callers: readonly SimulatedCaller[],
): string[] {
  const lines = simulation.concurrentRuns.map(
    id => `runs twice at once: ${id}`,
  );
  for (const {job, plan, submissions} of callers) {
    for (const {
      outcome,
      sentMs,
      leftMs,
      answeredMs,
      doneTasks,
    } of submissions) {
      if (outcome?.kind === 'completed' && doneTasks < plan.tasks) {
        lines.push(
          `completed with ${doneTasks} of ${plan.tasks} tasks done: ${job.id}`,
        );
      }
      const latestMs = sentMs + job.leftMs + ANSWER_SLACK_MS;
      if (leftMs === undefined && !((answeredMs ?? Infinity) <= latestMs)) {
        lines.push(
          `answered at ${answeredMs} instead of by ${latestMs} ms: ${job.id}`,
        );
      }
    }
    const isRefused = submissions.every(s => s.outcome?.kind === 'refused');
    const starts = simulation.startsOf(job.id);
    if (submissions.length > 0 && isRefused && starts > 0) {
      lines.push(`refused after ${starts} starts: ${job.id}`);
    }
  }
  return lines;
}
