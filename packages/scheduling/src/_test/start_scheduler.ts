import type {Scheduler} from '../scheduler/scheduler.js';
import type {TargetSimulation} from './target_simulation.js';

/** Begins a scheduler with some targets that have answered. */
export async function startScheduler(
  simulation: TargetSimulation,
  targets: number,
): Promise<Scheduler> {
  const scheduler = simulation.scheduler();
  scheduler.begin(1);
  for (let i = 0; i < targets; i++) {
    scheduler.acceptReport(simulation.addTarget());
  }
  await simulation.clock.advance(20);
  return scheduler;
}
