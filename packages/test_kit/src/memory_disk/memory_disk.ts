import type {Clock, RandomSource} from '@papayarun/protocol';

/** Operations of a process that has ended never come back. */
const NEVER = new Promise<never>(() => undefined);

type Change = (
  file: Buffer | undefined,
  random: RandomSource,
) => Buffer | undefined;

/**
 * Disk in memory that a crash can catch in the middle of a write.
 */
export class MemoryDisk {
  /** When set, new bytes are refused with this error, as on a full disk. */
  failure: Error | undefined;
  private files = new Map<string, Buffer>();
  private generation = 0;
  /** What a crash would leave of the write in progress. */
  private pending: {readonly name: string; readonly torn: Change} | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly syncMs: number,
  ) {}

  /**
   * Makes an empty disk.
   *
   * @param clock - Time.
   * @param random - Decides what a crash leaves.
   * @param syncMs - Time of a synced write in milliseconds.
   * @returns The disk.
   * @example
   * const disk = MemoryDisk.create(clock, random, 3);
   */
  static create(
    clock: Clock,
    random: RandomSource,
    syncMs: number,
  ): MemoryDisk {
    return new MemoryDisk(clock, random, syncMs);
  }

  /** Files as they are for a process that starts now. */
  open(): MemoryDiskHandle {
    return new MemoryDiskHandle(this, this.generation);
  }

  /** Ends the process that has the disk open, maybe in the middle of a write. */
  crash(): void {
    this.generation++;
    if (this.pending) {
      this.set(
        this.pending.name,
        this.pending.torn(this.files.get(this.pending.name), this.random),
      );
      this.pending = undefined;
    }
  }

  /** Loses all files. */
  lose(): void {
    this.crash();
    this.files = new Map();
  }

  /** Bytes of a file, for tests that damage it. */
  fileOf(name: string): Buffer | undefined {
    return this.files.get(name);
  }

  /** @internal */
  async write(
    generation: number,
    name: string,
    whole: Change,
    torn: Change,
    needsRoom: boolean,
  ): Promise<void> {
    if (generation !== this.generation) {
      return NEVER;
    }
    if (this.failure && needsRoom) {
      throw this.failure;
    }
    this.pending = {name, torn};
    await this.clock.sleep(this.syncMs);
    if (generation !== this.generation) {
      return NEVER;
    }
    this.pending = undefined;
    this.set(name, whole(this.files.get(name), this.random));
  }

  private set(name: string, bytes: Buffer | undefined): void {
    if (bytes) {
      this.files.set(name, bytes);
    } else {
      this.files.delete(name);
    }
  }
}

/**
 * The disk as one process has it open.
 */
export class MemoryDiskHandle {
  /** @internal */
  constructor(
    private readonly disk: MemoryDisk,
    private readonly generation: number,
  ) {}

  read(name: string): Promise<Uint8Array | undefined> {
    const bytes = this.disk.fileOf(name);
    return Promise.resolve(bytes && Buffer.from(bytes));
  }

  append(name: string, bytes: Uint8Array): Promise<void> {
    const copy = Buffer.from(bytes);
    const join = (file: Buffer | undefined, length: number): Buffer =>
      Buffer.concat([file ?? Buffer.alloc(0), copy.subarray(0, length)]);
    return this.disk.write(
      this.generation,
      name,
      file => join(file, copy.length),
      (file, random) =>
        join(file, Math.floor(random.next() * (copy.length + 1))),
      true,
    );
  }

  truncate(name: string, size: number): Promise<void> {
    const cut = (file: Buffer | undefined): Buffer =>
      Buffer.from(file!.subarray(0, size));
    return this.disk.write(this.generation, name, cut, cut, false);
  }

  replace(name: string, bytes: Uint8Array): Promise<void> {
    const copy = Buffer.from(bytes);
    return this.disk.write(
      this.generation,
      name,
      () => copy,
      (file, random) => (random.next() < 0.5 ? file : copy),
      true,
    );
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}
