import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import type {Interface} from 'node:readline';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import type {FakeTargetOptions} from '../fake_target/fake_target_options.js';

/** Options of a stand-in target that can be serialized for another process. */
export type TargetProcessOptions = Omit<FakeTargetOptions, 'announcePorts'> & {
  readonly ports: readonly number[];
};

/**
 * A stand-in target that runs in a child process.
 */
export class TargetProcess {
  private constructor(
    private readonly child: ChildProcess,
    private readonly outputLines: AsyncIterator<string>,
    private readonly lineReader: Interface,
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

  /** Makes the target announce the state `leaving` from now on. */
  announceLeaving(): void {
    this.child.stdin!.write('leave\n');
  }

  /** Number of requests and tasks that the target has started so far. */
  async fetchStartCount(): Promise<number> {
    this.child.stdin!.write('count\n');
    const {value} = await this.outputLines.next();
    return Number(value);
  }

  /** Kills the process. */
  kill(): void {
    this.lineReader.close();
    this.child.kill('SIGKILL');
  }
}
