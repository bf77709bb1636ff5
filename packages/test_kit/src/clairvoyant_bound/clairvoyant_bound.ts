import type {BoundJob} from './bound_job.js';
import type {BoundTarget} from './bound_target.js';

/** Credit of a late answer; an answer in time counts 1. */
const LATE_CREDIT = 0.2;
/** Length of the periods into which the time is divided, in milliseconds. */
const PERIOD_MS = 25;
/**
 * Sizes of a task as a share of a target, each of which keeps the sum of the
 * tasks that fit together on a target at 1 or less (dual feasible functions).
 * The first is the share itself; the others count what a target can't use.
 */
const SIZES: ReadonlyArray<(share: number) => number> = [
  share => share,
  share => maxCountSize(share, 1),
  share => maxCountSize(share, 2),
  share => maxCountSize(share, 3),
  share => (share > 0.6 ? 1 : share < 0.4 ? 0 : share),
];

/**
 * Upper bound of the credit of any schedule of some jobs, also of one that knows
 * all arrivals and run times in advance.
 *
 * @description A job may be cut as a schedule likes, at any time between its
 * arrival and its deadline, and partly done jobs earn their part of the value.
 * The credit is the sum of 0.8 of the value for work within the objective and
 * 0.2 for work within the deadline; each of the two is maximised by itself. Work
 * with time windows on a shared capacity is a polymatroid, so the greedy order
 * by value for each unit of capacity is optimal. What one job can add is limited
 * by the period around its window that has the least capacity left.
 * @param jobs - The jobs.
 * @param targets - Targets; tasks of a size that fits on none must not be given.
 * @returns The bound, in the unit of the values.
 * @throws Never.
 * @example
 * clairvoyantBound(
 *   [{atMs: 0, objectiveAtMs: 100, deadlineAtMs: 100, value: 1, cores: 1,
 *     workMs: 200}],
 *   [{cores: 1, slowness: 1}],
 * ); // 0.5
 */
export function clairvoyantBound(
  jobs: readonly BoundJob[],
  targets: readonly BoundTarget[],
): number {
  const cores = Math.max(0, ...targets.map(target => target.cores));
  const isUniform = targets.every(target => target.cores === cores);
  const bounds = (isUniform ? SIZES : SIZES.slice(0, 1)).map(sizeOf => {
    const perMs = targets.reduce(
      (sum, target) => sum + target.cores / cores / target.slowness,
      0,
    );
    const loads = jobs.map(job => sizeOf(job.cores / cores) * job.workMs);
    return (
      (1 - LATE_CREDIT) *
        maxValue(jobs, loads, perMs, job => job.objectiveAtMs) +
      LATE_CREDIT * maxValue(jobs, loads, perMs, job => job.deadlineAtMs)
    );
  });
  return Math.min(...bounds);
}

/** Size of a task of which at most `count` larger ones fit on a target. */
function maxCountSize(share: number, count: number): number {
  const slots = (count + 1) * share;
  return Number.isInteger(slots) ? share : Math.floor(slots) / count;
}

/** Largest value of the work that is done between arrivals and the given ends. */
function maxValue(
  jobs: readonly BoundJob[],
  loads: readonly number[],
  perMs: number,
  endOf: (job: BoundJob) => number,
): number {
  // Windows are rounded outwards, which keeps the result an upper bound.
  const windows = jobs.map((job, n) => ({
    from: Math.floor(job.atMs / PERIOD_MS),
    to: Math.max(
      Math.floor(job.atMs / PERIOD_MS) + 1,
      Math.ceil(endOf(job) / PERIOD_MS),
    ),
    value: job.value,
    load: loads[n]!,
  }));
  const first = Math.min(...windows.map(({from}) => from));
  const count = Math.max(0, ...windows.map(({to}) => to)) - first;
  /** Capacity from a period on up to each later one that is not taken. */
  const left = Array.from({length: Math.max(0, count)}, (_, from) =>
    Float64Array.from({length: count + 1}, (_v, to) =>
      to > from ? (to - from) * PERIOD_MS * perMs : Infinity,
    ),
  );
  let value = 0;
  windows.sort((a, b) => b.value * a.load - a.value * b.load);
  for (const window of windows) {
    const from = window.from - first;
    const to = window.to - first;
    let added = window.load;
    for (let a = 0; a <= from; a++) {
      const row = left[a]!;
      for (let b = to; b <= count; b++) {
        added = row[b]! < added ? row[b]! : added;
      }
    }
    for (let a = 0; a <= from; a++) {
      const row = left[a]!;
      for (let b = to; b <= count; b++) {
        row[b]! -= added;
      }
    }
    value +=
      window.load > 0 ? (window.value * added) / window.load : window.value;
  }
  return value;
}
