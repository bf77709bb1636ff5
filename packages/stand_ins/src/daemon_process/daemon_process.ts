import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

/**
 * Minimum number of latest log lines that are kept for diagnosis of a failure.
 */
const KEPT_LOG_LINES = 5_000;

/** Ports on which a daemon listens, from its `started` event. */
export interface DaemonPorts {
  readonly callersPort: number;
  readonly operatorsPort: number;
  readonly peersPort: number;
}

/** A parsed line of a daemon's log. */
export interface LogLine {
  readonly event: number;
  readonly eventName: string;
  readonly [field: string]: unknown;
}

/**
 * A real `papayarund` process.
 */
export class DaemonProcess {
  /**
   * Exit code once the process has ended; null when it was ended by a signal.
   */
  exitCode: number | null | undefined;

  private constructor(
    private readonly child: ChildProcess,
    readonly ports: DaemonPorts,
    private readonly exited: Promise<void>,
    /** Latest log lines. */
    readonly logLines: LogLine[],
    /** Output on standard error. */
    readonly errorOutput: string[],
  ) {}

  /**
   * Starts the daemon and waits until it listens.
   *
   * @param settingsPath - Path of the daemon's settings file.
   * @returns The process.
   * @throws Error with the output on standard error when the daemon ends before
   *   it listens.
   * @example
   * const daemon = await DaemonProcess.create('/tmp/centro-1.json');
   */
  static create(settingsPath: string): Promise<DaemonProcess> {
    const main = fileURLToPath(import.meta.resolve('@papayarun/daemon/main'));
    const child = spawn(process.execPath, [main, '--settings', settingsPath], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const exited = new Promise<void>(resolve =>
      child.once('exit', () => resolve()),
    );
    const errors: string[] = [];
    child.stderr.on('data', (chunk: Buffer) =>
      errors.push(chunk.toString('utf8')),
    );
    return new Promise((resolve, reject) => {
      let daemon: DaemonProcess | undefined;
      child.once('exit', code => {
        if (daemon) {
          daemon.exitCode = code;
        } else {
          reject(
            new Error(
              `daemon ended with exit code ${code} before it was listening: ${errors.join('')}`,
            ),
          );
        }
      });
      const lines: LogLine[] = [];
      createInterface({input: child.stdout}).on('line', text => {
        const line = JSON.parse(text) as LogLine;
        appendLogLine(lines, line);
        if (line.eventName === 'started') {
          const ports = line as unknown as DaemonPorts;
          daemon = new DaemonProcess(child, ports, exited, lines, errors);
          resolve(daemon);
        }
      });
    });
  }

  get pid(): number {
    return this.child.pid!;
  }

  get hasEnded(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  /** Sends a signal to this process only. */
  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Sends SIGKILL and waits until the process has ended. */
  async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.exited;
  }

  /** Waits until the process has ended, without sending a signal. */
  async waitForExit(): Promise<void> {
    await this.exited;
  }

  /** Kept log lines of an event. */
  events(name: string): LogLine[] {
    return this.logLines.filter(line => line.eventName === name);
  }
}

/**
 * Appends a line; drops the oldest lines so that at most twice the minimum is
 * kept.
 */
function appendLogLine(lines: LogLine[], line: LogLine): void {
  lines.push(line);
  if (lines.length > 2 * KEPT_LOG_LINES) {
    lines.splice(0, KEPT_LOG_LINES);
  }
}
