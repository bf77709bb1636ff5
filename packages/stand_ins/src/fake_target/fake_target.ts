import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {httpCall} from '../http_call/http_call.js';
import type {FakeTargetOptions} from './fake_target_options.js';
import type {Fault} from './fault.js';

/** Default interval between two announcements. */
const DEFAULT_ANNOUNCE_INTERVAL_MS = 1_000;
/** Number of accepted connections that the target announces. */
const ANNOUNCED_CONNECTIONS = 60;
/** Factor on run times under the fault `slow`. */
const SLOW_RUN_TIME_FACTOR = 5;

/** Parsed body of a request or task. */
interface WorkInput {
  readonly runMs?: number;
  readonly tag?: unknown;
}

/**
 * HTTP server that stands in for a target or worker and counts what it
 * receives.
 *
 * @description The JSON body `{runMs, tag}` of a request gives its run time in
 * milliseconds and a value that the response returns. Tasks are posted to
 * `/v1/tasks` with the body `{taskId, runMs, input}`.
 */
export class FakeTarget {
  fault: Fault = 'none';
  state: 'ready' | 'leaving' = 'ready';
  /** Whether announcements are sent. */
  sendsAnnouncements = true;
  /** Number of starts by request or task id. */
  readonly starts = new Map<string, number>();
  /** Monotonic times of all starts, in milliseconds. */
  readonly startTimes: number[] = [];
  /**
   * Requests refused because of the fault `busy` or because all slots were
   * taken.
   */
  busyRefusals = 0;
  /** Stop commands received for running work. */
  stopCount = 0;
  /** Renew commands received for running work. */
  renewalCount = 0;
  running = 0;
  maxRunning = 0;
  private seq = 0;
  private nextPortIndex = 0;
  private readonly bootId = `boot-${process.pid}-${process.hrtime.bigint()}`;
  /** Callbacks that end the running work early, by request or task id. */
  private readonly finishCallbacks = new Map<string, () => void>();
  private announceTimer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly opts: FakeTargetOptions,
    private readonly server: Server,
  ) {}

  /**
   * Starts the target and its announcements.
   *
   * @param opts - Id, service, slots and the ports to announce to.
   * @returns The target.
   * @example
   * const target = await FakeTarget.create(opts);
   */
  static async create(opts: FakeTargetOptions): Promise<FakeTarget> {
    const server = createServer({keepAliveTimeout: 60_000});
    const target = new FakeTarget(opts, server);
    server.on('request', (req, res) => void target.handleRequest(req, res));
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    target.announceTimer = setInterval(
      () => target.announce(),
      opts.announceMs ?? DEFAULT_ANNOUNCE_INTERVAL_MS,
    );
    target.announce();
    return target;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Total number of starts. */
  get totalStarts(): number {
    return this.startTimes.length;
  }

  /**
   * Sends an announcement to the next port in turn; a failed call is ignored.
   */
  announce(): void {
    const ports = this.opts.announcePorts();
    if (!this.sendsAnnouncements || ports.length === 0) {
      return;
    }
    const port = ports[this.nextPortIndex++ % ports.length]!;
    const body = JSON.stringify(this.nextAnnouncement());
    httpCall({
      port,
      method: 'POST',
      path: '/v1/targets',
      body,
      timeoutMs: 1_000,
    }).catch(() => undefined);
  }

  /** Builds the next announcement and does not send it. */
  nextAnnouncement(): Record<string, unknown> {
    const {targetId, service, slots, worker} = this.opts;
    return {
      targetId,
      boot: this.bootId,
      seq: ++this.seq,
      state: this.state,
      service,
      url: `http://127.0.0.1:${this.port}`,
      slots,
      connections: ANNOUNCED_CONNECTIONS,
      ...(worker && {
        worker: {
          rack: worker.rack,
          total: {
            cores: worker.cores,
            memoryMb: worker.memoryMb,
            accelerators: worker.accelerators,
          },
          used: {cores: 0, memoryMb: 0, accelerators: 0},
        },
      }),
    };
  }

  /** Closes the server and all its connections, as when a process is killed. */
  async close(): Promise<void> {
    clearInterval(this.announceTimer);
    for (const finish of this.finishCallbacks.values()) {
      finish();
    }
    this.server.closeAllConnections();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  private async handleRequest(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const text = await readBody(req);
    const taskCommandMatch = /^\/v1\/tasks\/([^/]+)\/(renew|stop)$/.exec(
      req.url ?? '',
    );
    if (taskCommandMatch) {
      this.handleTaskCommand(
        decodeURIComponent(taskCommandMatch[1]!),
        taskCommandMatch[2]!,
        res,
      );
      return;
    }
    const id = String(req.headers['papayarun-request-id']);
    if (this.fault === 'busy' || this.running >= this.opts.slots) {
      this.busyRefusals++;
      res.writeHead(503, {'papayarun-verdict': 'notRun'}).end();
      return;
    }
    this.starts.set(id, (this.starts.get(id) ?? 0) + 1);
    this.startTimes.push(performance.now());
    this.running++;
    this.maxRunning = Math.max(this.maxRunning, this.running);
    const input = parseInput(text);
    const runTimeFactor =
      this.fault === 'slow'
        ? SLOW_RUN_TIME_FACTOR
        : this.fault === 'fail'
          ? 0
          : 1;
    await this.simulateRun(id, (input.runMs ?? 0) * runTimeFactor, res);
    this.running--;
    this.sendResponse(id, input, req, res);
  }

  private sendResponse(
    id: string,
    input: WorkInput,
    req: IncomingMessage,
    res: ServerResponse,
  ): void {
    const body = JSON.stringify({
      target: this.opts.targetId,
      tag: input.tag,
      release: req.headers['papayarun-release'],
      behaviours: req.headers['papayarun-behaviours'],
    });
    const headers = {
      'content-type': 'application/json',
      'papayarun-request-id': id,
    };
    switch (this.fault) {
      case 'fail':
        res.writeHead(500, headers).end(body);
        return;
      case 'truncate':
        res.writeHead(200, {...headers, 'content-length': body.length + 100});
        res.write(body, () => res.destroy());
        return;
      case 'beforeHeaders':
        res.destroy();
        return;
      case 'crossed':
        res
          .writeHead(200, {...headers, 'papayarun-request-id': `${id}-other`})
          .end(body);
        return;
      case 'none':
      case 'slow':
      case 'busy':
        res.writeHead(200, headers).end(body);
        return;
      default:
        this.fault satisfies never;
    }
  }

  private simulateRun(
    id: string,
    runMs: number,
    res: ServerResponse,
  ): Promise<void> {
    return new Promise(resolve => {
      const finish = (): void => {
        clearTimeout(timer);
        this.finishCallbacks.delete(id);
        resolve();
      };
      const timer = setTimeout(finish, runMs);
      this.finishCallbacks.set(id, finish);
      res.on('close', finish);
    });
  }

  private handleTaskCommand(
    id: string,
    command: string,
    res: ServerResponse,
  ): void {
    const finish = this.finishCallbacks.get(id);
    if (!finish) {
      res.writeHead(404).end();
      return;
    }
    if (command === 'stop') {
      this.stopCount++;
      finish();
    } else {
      this.renewalCount++;
    }
    res.writeHead(204).end();
  }
}

function parseInput(text: string): WorkInput {
  try {
    const value = JSON.parse(text) as WorkInput & {input?: WorkInput};
    return {...value, ...value.input};
  } catch {
    return {};
  }
}

function readBody(req: IncomingMessage): Promise<string> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    req.on('data', (chunk: Buffer) => chunks.push(chunk));
    req.on('end', () => resolve(Buffer.concat(chunks).toString('utf8')));
    req.on('close', () => resolve(''));
  });
}
