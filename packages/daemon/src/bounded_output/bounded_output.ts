import {write} from 'node:fs';

/** Maximum bytes of lines buffered while the reader of the output is slow. */
const MAX_PENDING_BYTES = 1024 * 1024;
/** Maximum lines accepted per second; further lines are dropped and counted. */
const MAX_LINES_PER_SECOND = 1_000;
/** Length of the window over which the line rate is limited, in ms. */
const RATE_WINDOW_MS = 1_000;
/**
 * Delay before a flush, in ms, so that many lines go out in one write, which costs
 * several wake-ups. A process that is killed loses the lines of this time.
 */
const FLUSH_DELAY_MS = 100;

const DRAIN_POLL_MS = 5;

/**
 * Writes lines to a file descriptor without blocking on a slow reader.
 *
 * @description Lines beyond the rate or buffer limit are dropped and counted. The
 * next line that is accepted is preceded by a line that reports the count.
 */
export class BoundedOutput {
  private pendingLines: string[] = [];
  private pendingBytes = 0;
  private isWriting = false;
  private isFlushScheduled = false;
  private windowEndMs = 0;
  private linesInWindow = 0;
  private droppedLines = 0;

  private constructor(
    private readonly descriptor: number,
    private readonly formatDroppedLine: (count: number) => string,
  ) {}

  /**
   * Creates an output.
   *
   * @param descriptor - Open file descriptor, such as 1 for standard output.
   * @param formatDroppedLine - Formats the line that reports how many lines were
   *   dropped, with its line feed.
   * @returns The output.
   * @example
   * const out = BoundedOutput.create(1, n => `${n} lines dropped\n`);
   */
  static create(
    descriptor: number,
    formatDroppedLine: (count: number) => string,
  ): BoundedOutput {
    return new BoundedOutput(descriptor, formatDroppedLine);
  }

  /**
   * Queues a line for writing, or drops it when it exceeds a limit.
   *
   * @param line - Line with its line feed.
   */
  write(line: string): void {
    const nowMs = performance.now();
    if (nowMs >= this.windowEndMs) {
      this.windowEndMs = nowMs + RATE_WINDOW_MS;
      this.linesInWindow = 0;
    }
    const bytes = Buffer.byteLength(line);
    const exceedsLimit =
      ++this.linesInWindow > MAX_LINES_PER_SECOND ||
      this.pendingBytes + bytes > MAX_PENDING_BYTES;
    if (exceedsLimit) {
      this.droppedLines++;
      return;
    }
    if (this.droppedLines > 0) {
      this.pendingLines.push(this.formatDroppedLine(this.droppedLines));
      this.droppedLines = 0;
    }
    this.pendingLines.push(line);
    this.pendingBytes += bytes;
    if (!this.isFlushScheduled) {
      this.isFlushScheduled = true;
      setTimeout(() => {
        this.isFlushScheduled = false;
        this.flush();
      }, FLUSH_DELAY_MS);
    }
  }

  /** Writes the queued lines without delay; resolves when they are written. */
  async drain(): Promise<void> {
    this.flush();
    while (this.isWriting) {
      await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_MS));
    }
  }

  private flush(): void {
    if (this.isWriting || this.pendingLines.length === 0) {
      return;
    }
    const bytes = Buffer.from(this.pendingLines.join(''));
    this.pendingLines = [];
    this.pendingBytes = 0;
    this.isWriting = true;
    this.writeAll(bytes);
  }

  private writeAll(bytes: Buffer): void {
    write(this.descriptor, bytes, (err, count) => {
      if (!err && count < bytes.length) {
        this.writeAll(bytes.subarray(count));
        return;
      }
      // A write error, such as a closed output, is ignored: there is nowhere left
      // to report it.
      this.isWriting = false;
      this.flush();
    });
  }
}
