import type {SimulatedDataCentre} from './simulated_data_centre.js';
import type {SimulatedFault} from './simulated_fault.js';
import type {TargetSimulation} from './target_simulation.js';

/** Shortest and longest delay of a late order, in milliseconds. */
const LATE_MS = {minLateMs: 100, maxLateMs: 3_000};

/**
 * Plays faults at their times, and resolves when all of them have ended.
 *
 * @param simulation - The simulation, at whose present time the faults begin.
 * @param centres - Data centres, to which faults refer by index.
 * @param faults - The faults, in any order.
 */
export async function playFaults(
  simulation: TargetSimulation,
  centres: readonly SimulatedDataCentre[],
  faults: readonly SimulatedFault[],
): Promise<void> {
  const active = new Set<SimulatedFault>();
  Object.assign(simulation.faults, LATE_MS);
  await Promise.all(
    faults.map(async fault => {
      await simulation.clock.sleep(fault.atMs);
      switch (fault.kind) {
        case 'lostAnswers':
        case 'lateOrders':
        case 'cut':
          active.add(fault);
          setLinkFaults(simulation, centres, [...active]);
          await simulation.clock.sleep(fault.forMs);
          active.delete(fault);
          setLinkFaults(simulation, centres, [...active]);
          return;
        case 'crash': {
          const {targetIds} = pick(centres, fault.centre);
          await pick(centres, fault.centre).crash(
            pick(targetIds, fault.target),
          );
          return;
        }
        case 'restart': {
          const {targetIds} = pick(centres, fault.centre);
          await pick(centres, fault.centre).restart(
            pick(targetIds, fault.target),
            fault.reportAfterMs,
          );
          return;
        }
        case 'replace': {
          const {targetIds} = pick(centres, fault.centre);
          await pick(centres, fault.centre).replace(
            fault.endsAfterMs,
            fault.isDeaf,
            fault.unreachable === undefined
              ? undefined
              : pick(targetIds, fault.unreachable),
          );
          return;
        }
        case 'handOver':
          await pick(centres, fault.centre).handOver(fault.gapMs);
          return;
        case 'kill':
          await pick(centres, fault.centre).kill(fault.gapMs);
          return;
        default:
          fault satisfies never;
      }
    }),
  );
}

/** Sets the faults of the links to those that are active. */
function setLinkFaults(
  simulation: TargetSimulation,
  centres: readonly SimulatedDataCentre[],
  active: readonly SimulatedFault[],
): void {
  const {faults} = simulation;
  faults.lostAnswers = 0;
  faults.lateOrders = 0;
  faults.cut.clear();
  for (const fault of active) {
    if (fault.kind === 'lostAnswers' || fault.kind === 'lateOrders') {
      faults[fault.kind] = Math.max(faults[fault.kind], fault.share);
    } else if (fault.kind === 'cut') {
      const {targetIds} = pick(centres, fault.centre);
      const cut =
        fault.target === undefined
          ? targetIds
          : [pick(targetIds, fault.target)];
      cut.forEach(id => faults.cut.add(id));
    }
  }
}

function pick<T>(items: readonly T[], n: number): T {
  return items[n % items.length]!;
}
