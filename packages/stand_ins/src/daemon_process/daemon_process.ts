import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

/** Log lines kept for a look after a failure. */
const KEPT_LINES = 5_000;

/** Ports that a daemon's first event names. */
export interface DaemonPorts {
  readonly callersPort: number;
  readonly operatorsPort: number;
  readonly peersPort: number;
}

/** One line of a daemon's log. */
export interface LogLine {
  readonly event: number;
  readonly eventName: string;
  readonly [field: string]: unknown;
}

/**
 * A real `papayarund` process.
 */
export class DaemonProcess {
  /** Exit code, once it has ended; null when a signal ended it. */
  exitCode: number | null | undefined;

  private constructor(
    private readonly child: ChildProcess,
    readonly ports: DaemonPorts,
    private readonly exited: Promise<void>,
    /** Latest log lines. */
    readonly lines: LogLine[],
    /** What it wrote to standard error. */
    readonly errors: string[],
  ) {}

  /**
   * Starts the daemon and waits until it listens.
   *
   * @param settingsPath - Its settings file.
   * @returns The process.
   * @throws Error with what it wrote when it ends before it listens.
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
          reject(new Error(`daemon ended with ${code}: ${errors.join('')}`));
        }
      });
      const lines: LogLine[] = [];
      createInterface({input: child.stdout}).on('line', text => {
        const line = JSON.parse(text) as LogLine;
        keep(lines, line);
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

  /** Sends a signal to this process alone. */
  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Kills it at once and waits until it is gone. */
  async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.exited;
  }

  /** Waits until it has ended by itself. */
  async ended(): Promise<void> {
    await this.exited;
  }

  /** Lines of one event. */
  events(name: string): LogLine[] {
    return this.lines.filter(line => line.eventName === name);
  }
}

function keep(lines: LogLine[], line: LogLine): void {
  lines.push(line);
  if (lines.length > 2 * KEPT_LINES) {
    lines.splice(0, KEPT_LINES);
  }
}
