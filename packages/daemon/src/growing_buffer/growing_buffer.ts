const MIN_CAPACITY_BYTES = 512;

/**
 * Bytes that arrive in pieces, in one buffer that doubles when it is full.
 */
export class GrowingBuffer {
  private buffer: Buffer = Buffer.alloc(0);
  private length = 0;

  private constructor(private readonly maxBytes: number) {}

  /**
   * Creates an empty buffer, which takes no memory.
   *
   * @param maxBytes - Number of bytes that it holds at most.
   * @returns The buffer.
   * @throws Never.
   * @example
   * const body = GrowingBuffer.create(1 << 18);
   */
  static create(maxBytes: number): GrowingBuffer {
    return new GrowingBuffer(maxBytes);
  }

  /**
   * Capacity that another piece needs.
   *
   * @param bytes - Size of the piece.
   * @returns The capacity in bytes; undefined if the piece is beyond the limit.
   */
  capacityFor(bytes: number): number | undefined {
    const needed = this.length + bytes;
    if (needed > this.maxBytes) {
      return undefined;
    }
    if (needed <= this.buffer.length) {
      return this.buffer.length;
    }
    const doubled = Math.max(MIN_CAPACITY_BYTES, this.buffer.length * 2);
    return Math.min(this.maxBytes, Math.max(needed, doubled));
  }

  /**
   * Copies a piece to the end.
   *
   * @param piece - Bytes; `capacityFor` must have given a capacity for them.
   */
  append(piece: Uint8Array): void {
    const capacity = this.capacityFor(piece.length) ?? 0;
    if (capacity > this.buffer.length) {
      // Memory of its own, not a part of the pool that all small buffers share.
      const larger = Buffer.allocUnsafeSlow(capacity);
      this.buffer.copy(larger, 0, 0, this.length);
      this.buffer = larger;
    }
    this.buffer.set(piece, this.length);
    this.length += piece.length;
  }

  /** Returns what has arrived, without a copy, and forgets it. */
  take(): Buffer {
    const bytes = this.buffer.subarray(0, this.length);
    this.clear();
    return bytes;
  }

  /** Forgets what has arrived. */
  clear(): void {
    this.buffer = Buffer.alloc(0);
    this.length = 0;
  }
}
