/** Size of a segment in bytes. */
const SEGMENT_BYTES = 64 * 1024;

/**
 * Memory in segments of one size, which are used again.
 *
 * @description Large buffers that grow by copies, and are freed between small ones, leave
 * the process with several times their memory, which the allocator can't give back.
 */
export class SegmentPool {
  private readonly free: Buffer[] = [];

  private constructor(private readonly maxFree: number) {}

  /**
   * Creates a pool without memory.
   *
   * @param maxFreeBytes - Memory that is kept for later use at most, in bytes.
   * @returns The pool.
   * @throws Never.
   * @example
   * const pool = SegmentPool.create(20 * 1024 * 1024);
   */
  static create(maxFreeBytes: number): SegmentPool {
    return new SegmentPool(Math.floor(maxFreeBytes / SEGMENT_BYTES));
  }

  /** Size of a segment in bytes. */
  get segmentBytes(): number {
    return SEGMENT_BYTES;
  }

  /** Returns a segment with any content. */
  take(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(SEGMENT_BYTES);
  }

  /** Takes a segment back that nobody uses any more. */
  giveBack(segment: Buffer): void {
    if (this.free.length < this.maxFree) {
      this.free.push(segment);
    }
  }
}
