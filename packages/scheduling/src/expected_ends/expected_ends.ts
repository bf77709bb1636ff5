/**
 * Time until each task of a job is expected to have ended.
 *
 * @description List scheduling over equal slots: first the tasks that are
 * ahead, then the job's own, each on the slot that is free earliest.
 * @param slotFreeMs - Time until each slot is free, in milliseconds; 0 for a
 *   free one.
 * @param aheadMs - Run times of the waiting tasks that go first, in order, in
 *   milliseconds.
 * @param ownMs - Run times of the job's own tasks, in milliseconds.
 * @returns Milliseconds until each own task ends, in order; infinite if there
 *   are no slots.
 * @throws Never.
 * @example
 * expectedEnds([0, 40], [], [60, 60]); // [60, 100]
 */
export function expectedEnds(
  slotFreeMs: readonly number[],
  aheadMs: readonly number[],
  ownMs: readonly number[],
): number[] {
  if (slotFreeMs.length === 0) {
    return ownMs.map(() => Infinity);
  }
  const heap = [...slotFreeMs].sort((a, b) => a - b);
  for (const runMs of aheadMs) {
    replaceMin(heap, heap[0]! + runMs);
  }
  return ownMs.map(runMs => {
    const endMs = heap[0]! + runMs;
    replaceMin(heap, endMs);
    return endMs;
  });
}

/** Replaces the smallest value of a binary heap. */
function replaceMin(heap: number[], value: number): void {
  let index = 0;
  for (;;) {
    const left = 2 * index + 1;
    if (left >= heap.length) {
      break;
    }
    const right = left + 1;
    const child =
      right < heap.length && heap[right]! < heap[left]! ? right : left;
    if (heap[child]! >= value) {
      break;
    }
    heap[index] = heap[child]!;
    index = child;
  }
  heap[index] = value;
}
