import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {httpCall} from '../http_call/http_call.js';
import type {FakeTargetOptions} from './fake_target_options.js';
import type {Fault} from './fault.js';

const DEFAULT_ANNOUNCE_MS = 1_000;
const CONNECTIONS = 60;
const SLOW_FACTOR = 5;

interface Input {
  readonly runMs?: number;
  readonly tag?: unknown;
}

/**
 * Stand-in for a target or worker, with its own counters.
 *
 * @description A request's JSON body `{runMs, tag}` says how long it runs and
 * what is echoed. Tasks come to `/v1/tasks` with `{taskId, runMs, input}`.
 */
export class FakeTarget {
  fault: Fault = 'none';
  state: 'ready' | 'leaving' = 'ready';
  /** Whether announcements are sent. */
  announcing = true;
  /** Starts by request or task id. */
  readonly starts = new Map<string, number>();
  /** Times at which work was started, in milliseconds. */
  readonly startTimes: number[] = [];
  refusedBusy = 0;
  stopped = 0;
  renewals = 0;
  running = 0;
  maxRunning = 0;
  private seq = 0;
  private next = 0;
  private readonly boot = `boot-${process.pid}-${process.hrtime.bigint()}`;
  private readonly ending = new Map<string, () => void>();
  private timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly opts: FakeTargetOptions,
    private readonly server: Server,
  ) {}

  /**
   * Starts the target and its announcements.
   *
   * @param opts - Name, service, slots and whom to announce to.
   * @returns The target.
   * @example
   * const target = await FakeTarget.create(opts);
   */
  static async create(opts: FakeTargetOptions): Promise<FakeTarget> {
    const server = createServer({keepAliveTimeout: 60_000});
    const target = new FakeTarget(opts, server);
    server.on('request', (req, res) => void target.serve(req, res));
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    target.timer = setInterval(
      () => target.announce(),
      opts.announceMs ?? DEFAULT_ANNOUNCE_MS,
    );
    target.announce();
    return target;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Number of starts over all requests. */
  get totalStarts(): number {
    return this.startTimes.length;
  }

  /** Sends an announcement now. */
  announce(): void {
    const ports = this.opts.announcePorts();
    if (!this.announcing || ports.length === 0) {
      return;
    }
    const port = ports[this.next++ % ports.length]!;
    const body = JSON.stringify(this.announcement());
    httpCall({
      port,
      method: 'POST',
      path: '/v1/targets',
      body,
      timeoutMs: 1_000,
    }).catch(() => undefined);
  }

  /** The next announcement, without sending it. */
  announcement(): Record<string, unknown> {
    const {targetId, service, slots, worker} = this.opts;
    return {
      targetId,
      boot: this.boot,
      seq: ++this.seq,
      state: this.state,
      service,
      url: `http://127.0.0.1:${this.port}`,
      slots,
      connections: CONNECTIONS,
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

  /** Ends like a killed process: all connections are reset. */
  async close(): Promise<void> {
    clearInterval(this.timer);
    for (const end of this.ending.values()) {
      end();
    }
    this.server.closeAllConnections();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const text = await readText(req);
    const control = /^\/v1\/tasks\/([^/]+)\/(renew|stop)$/.exec(req.url ?? '');
    if (control) {
      this.control(decodeURIComponent(control[1]!), control[2]!, res);
      return;
    }
    const id = String(req.headers['papayarun-request-id']);
    if (this.fault === 'busy' || this.running >= this.opts.slots) {
      this.refusedBusy++;
      res.writeHead(503, {'papayarun-verdict': 'notRun'}).end();
      return;
    }
    this.starts.set(id, (this.starts.get(id) ?? 0) + 1);
    this.startTimes.push(performance.now());
    this.running++;
    this.maxRunning = Math.max(this.maxRunning, this.running);
    const input = parseInput(text);
    const factor =
      this.fault === 'slow' ? SLOW_FACTOR : this.fault === 'fail' ? 0 : 1;
    await this.work(id, (input.runMs ?? 0) * factor, res);
    this.running--;
    this.answer(id, input, req, res);
  }

  private answer(
    id: string,
    input: Input,
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

  private work(id: string, runMs: number, res: ServerResponse): Promise<void> {
    return new Promise(resolve => {
      const end = (): void => {
        clearTimeout(timer);
        this.ending.delete(id);
        resolve();
      };
      const timer = setTimeout(end, runMs);
      this.ending.set(id, end);
      res.on('close', end);
    });
  }

  private control(id: string, verb: string, res: ServerResponse): void {
    const end = this.ending.get(id);
    if (!end) {
      res.writeHead(404).end();
      return;
    }
    if (verb === 'stop') {
      this.stopped++;
      end();
    } else {
      this.renewals++;
    }
    res.writeHead(204).end();
  }
}

function parseInput(text: string): Input {
  try {
    const value = JSON.parse(text) as Input & {input?: Input};
    return {...value, ...value.input};
  } catch {
    return {};
  }
}

function readText(req: IncomingMessage): Promise<string> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    req.on('data', (chunk: Buffer) => chunks.push(chunk));
    req.on('end', () => resolve(Buffer.concat(chunks).toString('utf8')));
    req.on('close', () => resolve(''));
  });
}
