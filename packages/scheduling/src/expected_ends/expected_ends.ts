/**
 * When each task of a group is expected to have ended.
 *
 * @description List scheduling over equal places: work that is ahead takes the
 * earliest free place first, the group's own tasks follow.
 * @param slotFreeMs - Time until each place is free, in milliseconds; 0 for a
 *   free one.
 * @param aheadMs - Run times of the waiting tasks that go first, in order.
 * @param ownMs - Run times of the group's tasks.
 * @returns Milliseconds until each own task ends, in order; infinite without
 *   places.
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

/** Puts a value in place of a binary heap's smallest one. */
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
