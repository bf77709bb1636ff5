import type {SegmentPool} from './segment_pool.js';

const MIN_CAPACITY_BYTES = 512;

/**
 * Bytes that arrive in pieces. Up to the size of a segment they are in one buffer that
 * doubles when it is full, above that in segments of a pool.
 */
export class GrowingBuffer {
  private small: Buffer = Buffer.alloc(0);
  private segments: Buffer[] = [];
  private length = 0;

  private constructor(
    private readonly maxBytes: number,
    private readonly pool: SegmentPool,
  ) {}

  /**
   * Creates an empty buffer, which takes no memory.
   *
   * @param maxBytes - Number of bytes that it holds at most.
   * @param pool - Memory of the process for large buffers.
   * @returns The buffer.
   * @throws Never.
   * @example
   * const body = GrowingBuffer.create(1 << 18, pool);
   */
  static create(maxBytes: number, pool: SegmentPool): GrowingBuffer {
    return new GrowingBuffer(maxBytes, pool);
  }

  /**
   * Capacity that another piece needs.
   *
   * @param bytes - Size of the piece.
   * @returns The capacity in bytes; undefined if the piece is beyond the limit.
   */
  capacityFor(bytes: number): number | undefined {
    const needed = this.length + bytes;
    const {segmentBytes} = this.pool;
    if (needed > this.maxBytes) {
      return undefined;
    }
    if (needed > segmentBytes || this.segments.length > 0) {
      return Math.ceil(needed / segmentBytes) * segmentBytes;
    }
    if (needed <= this.small.length) {
      return this.small.length;
    }
    const doubled = Math.max(MIN_CAPACITY_BYTES, this.small.length * 2);
    return Math.min(segmentBytes, Math.max(needed, doubled));
  }

  /**
   * Copies a piece to the end.
   *
   * @param piece - Bytes; `capacityFor` must have given a capacity for them.
   */
  append(piece: Uint8Array): void {
    const isSmall = this.length + piece.length <= this.pool.segmentBytes;
    if (isSmall && this.segments.length === 0) {
      this.appendSmall(piece);
      return;
    }
    if (this.segments.length === 0) {
      const kept = this.small.subarray(0, this.length);
      this.small = Buffer.alloc(0);
      this.length = 0;
      this.appendToSegments(kept);
    }
    this.appendToSegments(piece);
  }

  /** Returns what has arrived, in one buffer, and forgets it. */
  take(): Buffer {
    let bytes = this.small.subarray(0, this.length);
    if (this.segments.length > 0) {
      bytes = Buffer.allocUnsafeSlow(this.length);
      this.segments.forEach((segment, n) =>
        segment.copy(bytes, n * segment.length),
      );
    }
    this.clear();
    return bytes;
  }

  /** Forgets what has arrived. */
  clear(): void {
    this.segments.forEach(segment => this.pool.giveBack(segment));
    this.segments = [];
    this.small = Buffer.alloc(0);
    this.length = 0;
  }

  private appendSmall(piece: Uint8Array): void {
    const capacity = this.capacityFor(piece.length) ?? 0;
    if (capacity > this.small.length) {
      // Memory of its own, not a part of the pool that all small buffers share.
      const larger = Buffer.allocUnsafeSlow(capacity);
      this.small.copy(larger, 0, 0, this.length);
      this.small = larger;
    }
    this.small.set(piece, this.length);
    this.length += piece.length;
  }

  private appendToSegments(piece: Uint8Array): void {
    const {segmentBytes} = this.pool;
    const start = this.length % segmentBytes;
    if (start > 0 && start + piece.length <= segmentBytes) {
      // Most pieces; a part of a piece would be a new object.
      this.segments.at(-1)!.set(piece, start);
      this.length += piece.length;
      return;
    }
    for (let at = 0; at < piece.length;) {
      const offset = this.length % segmentBytes;
      if (offset === 0) {
        this.segments.push(this.pool.take());
      }
      const part = piece.subarray(at, at + segmentBytes - offset);
      this.segments.at(-1)!.set(part, offset);
      this.length += part.length;
      at += part.length;
    }
  }
}
