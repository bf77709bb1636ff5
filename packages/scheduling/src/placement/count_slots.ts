import type {Resources, TargetReport, TaskId} from '@papayarun/protocol';
import type {RunRecord} from '../_lib/run_record.js';

/** What is counted of a target. */
interface CountedTarget {
  readonly free: Resources;
  readonly session: {
    readonly report: Pick<TargetReport, 'capacity'>;
    readonly runs: ReadonlyMap<TaskId, Pick<RunRecord, 'needs'>>;
  };
}

/**
 * Counts slots for tasks of the mean size of the running ones.
 *
 * @param candidates - Targets on which tasks may be placed.
 * @returns The number of slots, and of those that are free; both are infinite
 *   while nothing runs.
 * @throws Never.
 * @example
 * const slots = countSlots(candidates);
 */
export function countSlots(candidates: readonly CountedTarget[]): {
  readonly totalSlots: number;
  freeSlots: number;
} {
  let runs = 0;
  let cores = 0;
  for (const {session} of candidates) {
    runs += session.runs.size;
    for (const {needs} of session.runs.values()) {
      cores += needs.cores;
    }
  }
  const meanCores = cores / Math.max(1, runs);
  if (meanCores === 0) {
    return {totalSlots: Infinity, freeSlots: Infinity};
  }
  let totalSlots = 0;
  let freeSlots = 0;
  for (const candidate of candidates) {
    totalSlots += Math.floor(
      candidate.session.report.capacity.cores / meanCores,
    );
    freeSlots += Math.floor(candidate.free.cores / meanCores);
  }
  return {totalSlots, freeSlots};
}
