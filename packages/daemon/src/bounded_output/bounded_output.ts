import {write} from 'node:fs';

/** Bytes that may wait for a slow reader of the output. */
const MAX_WAITING_BYTES = 1024 * 1024;
/** Lines that are written in a second at most; the rest is counted. */
const MAX_LINES_PER_SECOND = 1_000;
const SECOND_MS = 1_000;
/** Lines are gathered for this long, to write them at once; in ms. */
const GATHER_MS = 20;

/**
 * Writes lines to a descriptor without ever waiting for its reader.
 *
 * @description Lines over the bounds are dropped and counted; a line says so
 * once there is room again.
 */
export class BoundedOutput {
  private waiting: string[] = [];
  private waitingBytes = 0;
  private isWriting = false;
  private isDue = false;
  private windowEndMs = 0;
  private inWindow = 0;
  private dropped = 0;

  private constructor(
    private readonly descriptor: number,
    private readonly droppedLine: (count: number) => string,
  ) {}

  /**
   * Makes the output.
   *
   * @param descriptor - Open file descriptor, such as 1.
   * @param droppedLine - Line that tells how many lines were dropped.
   * @returns The output.
   * @example
   * const out = BoundedOutput.create(1, n => `${n} lines dropped\n`);
   */
  static create(
    descriptor: number,
    droppedLine: (count: number) => string,
  ): BoundedOutput {
    return new BoundedOutput(descriptor, droppedLine);
  }

  /** Takes a line with its line feed. */
  write(line: string): void {
    const nowMs = performance.now();
    if (nowMs >= this.windowEndMs) {
      this.windowEndMs = nowMs + SECOND_MS;
      this.inWindow = 0;
    }
    const isOver =
      ++this.inWindow > MAX_LINES_PER_SECOND ||
      this.waitingBytes + line.length > MAX_WAITING_BYTES;
    if (isOver) {
      this.dropped++;
      return;
    }
    if (this.dropped > 0) {
      this.waiting.push(this.droppedLine(this.dropped));
      this.dropped = 0;
    }
    this.waiting.push(line);
    this.waitingBytes += line.length;
    if (!this.isDue) {
      this.isDue = true;
      setTimeout(() => {
        this.isDue = false;
        this.flush();
      }, GATHER_MS);
    }
  }

  private flush(): void {
    if (this.isWriting || this.waiting.length === 0) {
      return;
    }
    const bytes = Buffer.from(this.waiting.join(''));
    this.waiting = [];
    this.waitingBytes = 0;
    this.isWriting = true;
    this.writeAll(bytes);
  }

  private writeAll(bytes: Buffer): void {
    write(this.descriptor, bytes, (err, count) => {
      if (!err && count < bytes.length) {
        this.writeAll(bytes.subarray(count));
        return;
      }
      // A closed output can't be told about anywhere.
      this.isWriting = false;
      this.flush();
    });
  }
}
