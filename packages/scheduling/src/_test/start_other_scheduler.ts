import type {Scheduler} from '../scheduler/scheduler.js';
import type {TargetSimulation} from './target_simulation.js';

/** Begins the scheduler of another data centre, with targets of its own. */
export async function startOtherScheduler(
  simulation: TargetSimulation,
): Promise<Scheduler> {
  const scheduler = simulation.scheduler();
  scheduler.begin(1);
  for (let i = 0; i < 6; i++) {
    scheduler.acceptReport(simulation.addTarget());
  }
  await simulation.clock.advance(20);
  return scheduler;
}
