import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import type {Interface} from 'node:readline';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import type {FakeTargetOptions} from '../fake_target/fake_target_options.js';

/** Options that can be handed to another process. */
export type TargetProcessOptions = Omit<FakeTargetOptions, 'announcePorts'> & {
  readonly ports: readonly number[];
};

/**
 * A stand-in target in a process of its own.
 */
export class TargetProcess {
  private constructor(
    private readonly child: ChildProcess,
    private readonly lines: AsyncIterator<string>,
    private readonly reader: Interface,
  ) {}

  /**
   * Starts the process and waits until it listens.
   *
   * @param opts - The target's options.
   * @returns The process.
   * @example
   * const target = await TargetProcess.create(opts);
   */
  static async create(opts: TargetProcessOptions): Promise<TargetProcess> {
    const main = fileURLToPath(new URL('./main.js', import.meta.url));
    const child = spawn(process.execPath, [main, JSON.stringify(opts)], {
      stdio: ['pipe', 'pipe', 'inherit'],
    });
    const reader = createInterface({input: child.stdout});
    const lines = reader[Symbol.asyncIterator]();
    await lines.next();
    return new TargetProcess(child, lines, reader);
  }

  /** Announces from now on that it leaves. */
  leave(): void {
    this.child.stdin!.write('leave\n');
  }

  /** Number of starts so far. */
  async count(): Promise<number> {
    this.child.stdin!.write('count\n');
    const {value} = await this.lines.next();
    return Number(value);
  }

  /** Ends the process. */
  end(): void {
    this.reader.close();
    this.child.kill('SIGKILL');
  }
}
