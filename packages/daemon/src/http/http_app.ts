import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Server as NetServer} from 'node:net';
import type {EventLog, Refusal} from '@papayarun/protocol';
import {DispatchError, refusalFromError} from '@papayarun/protocol';
import {afterReading} from '../loop_lag/after_reading.js';
import {HTTP_LIMITS} from './http_limits.js';
import type {HttpResponse} from './http_response.js';
import type {HttpRoute} from './http_route.js';
import {matchPath} from './match_path.js';
import {OpenConnections} from './open_connections.js';
import {refusalResponse} from './refusal_response.js';

const MAX_HEADER_BYTES = 16 * 1024;
const REQUEST_TIMEOUT_MS = 60_000;
/** Maximum number of connections that wait to be accepted. */
const LISTEN_BACKLOG = 511;
/**
 * Rounds of the event loop without an arrival after which nothing is left to
 * read: a connection is accepted in one round and read in the next one.
 */
const ROUNDS_WITHOUT_ARRIVAL = 2;

/**
 * Options of an HTTP server.
 */
export interface HttpAppOptions {
  readonly routes: readonly HttpRoute[];
  readonly log: EventLog;
  readonly maxBodyBytes: number;
  readonly maxConnections: number;
  /** Checks authorization; can refuse a request before its body is read. */
  readonly guard?: (req: IncomingMessage, path: string) => Refusal | undefined;
  /** Headers added to every response. */
  readonly commonHeaders: () => Readonly<Record<string, string>>;
}

/**
 * HTTP server with routes, size and connection limits, and graceful shutdown.
 */
export class HttpApp {
  private activeRequests = 0;
  /** Connections accepted and requests received. */
  private arrivals = 0;
  private clientRequests = 0;
  private readonly connections = OpenConnections.create();
  private isClosing = false;

  private constructor(
    private readonly opts: HttpAppOptions,
    private readonly server: Server,
  ) {}

  /**
   * Creates a server and starts to listen.
   *
   * @param opts - Routes, limits and log.
   * @param listen - Host and port; port 0 lets the operating system choose.
   * @returns The listening server.
   * @throws Error if the address can't be bound.
   * @example
   * const app = await HttpApp.create(opts, {host: '127.0.0.1', port: 0});
   */
  static async create(
    opts: HttpAppOptions,
    listen: {readonly host: string; readonly port: number},
  ): Promise<HttpApp> {
    const server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HTTP_LIMITS.headersTimeoutMs,
      requestTimeout: REQUEST_TIMEOUT_MS,
      keepAliveTimeout: HTTP_LIMITS.keepAliveTimeoutMs,
    });
    server.maxConnections = opts.maxConnections;
    const app = new HttpApp(opts, server);
    server.on('connection', socket => {
      app.arrivals++;
      app.connections.add(socket);
    });
    server.on('request', (req, res) => void app.handleRequest(req, res));
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(listen.port, listen.host, LISTEN_BACKLOG, resolve);
    });
    return app;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /**
   * Number of requests in progress, until the operating system has the whole
   * response or the connection is closed.
   */
  get inProgress(): number {
    return this.activeRequests;
  }

  /** Number of requests received so far, other than periodic ones. */
  get receivedFromClients(): number {
    return this.clientRequests;
  }

  /**
   * Adds `connection: close` to every response, so that clients open another
   * connection for their next request.
   */
  disableKeepAlive(): void {
    this.isClosing = true;
  }

  /**
   * Reads what has arrived, then stops listening.
   *
   * @description Open connections stay; each closes after the response to its
   * next request.
   */
  async stopListening(): Promise<void> {
    this.isClosing = true;
    await this.readArrived();
    // The method of the HTTP server would close idle connections as well, also
    // those with a request that was not read yet.
    NetServer.prototype.close.call(this.server);
  }

  /** Reads what has arrived, then closes the connections without a request. */
  async closeIdleConnections(): Promise<void> {
    await this.readArrived();
    this.connections.closeIdle();
  }

  /**
   * Accepts the connections that wait and reads the requests on them.
   *
   * @description The event loop accepts one connection in a round, so a process
   * that had no processor time has several rounds to catch up with. The number of
   * rounds is bounded by what can wait when this is called.
   */
  async readArrived(): Promise<void> {
    let roundsWithoutArrival = 0;
    for (
      let round = 0;
      round < LISTEN_BACKLOG && roundsWithoutArrival < ROUNDS_WITHOUT_ARRIVAL;
      round++
    ) {
      const before = this.arrivals;
      await afterReading();
      roundsWithoutArrival =
        this.arrivals === before ? roundsWithoutArrival + 1 : 0;
    }
  }

  /** Stops listening and closes all connections, also those in use. */
  closeAll(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async handleRequest(
    raw: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const {socket} = raw;
    this.activeRequests++;
    this.arrivals++;
    const disconnection = new AbortController();
    const abort = (): void => {
      if (!res.writableFinished) {
        disconnection.abort(
          DispatchError.notRun('cancelled', 'the caller closed the connection'),
        );
      }
    };
    this.connections.requestStarted(socket, abort);
    res.on('close', abort);
    try {
      this.send(res, await this.routeRequest(raw, disconnection.signal));
    } catch (err) {
      const refusal = refusalFromError(err);
      if (refusal.code === 'internal') {
        this.opts.log.emit('unexpected', {err: (err as Error).stack});
      }
      this.send(res, refusalResponse(refusal));
    } finally {
      await closed(res);
      this.connections.requestEnded(socket, abort);
      this.activeRequests--;
    }
  }

  private async routeRequest(
    raw: IncomingMessage,
    signal: AbortSignal,
  ): Promise<HttpResponse> {
    const url = parseUrl(raw.url ?? '/');
    const refusal = this.opts.guard?.(raw, url.pathname);
    if (refusal) {
      raw.resume();
      this.opts.log.emit('unauthorized', {path: url.pathname});
      return refusalResponse(refusal);
    }
    for (const route of this.opts.routes) {
      const params =
        route.method === raw.method && matchPath(route.path, url.pathname);
      if (params) {
        this.clientRequests += route.isPeriodic ? 0 : 1;
        const body = await readBody(raw, this.opts.maxBodyBytes);
        const {pathname: path, searchParams: query} = url;
        return await this.logBadRequest(
          route.handle({raw, path, query, params, body, signal}),
          path,
        );
      }
    }
    raw.resume();
    const message = `no route for ${raw.method} ${url.pathname}`;
    return refusalResponse(DispatchError.notRun('notFound', message).refusal);
  }

  private async logBadRequest(
    response: Promise<HttpResponse>,
    path: string,
  ): Promise<HttpResponse> {
    try {
      return await response;
    } catch (err) {
      if (err instanceof DispatchError && err.refusal.code === 'badRequest') {
        const {field, message} = err.refusal;
        this.opts.log.emit('badRequest', {path, field, problem: message});
      }
      throw err;
    }
  }

  private send(res: ServerResponse, response: HttpResponse): void {
    if (res.destroyed || res.headersSent) {
      return;
    }
    const isJson = 'json' in response.body;
    const bytes = isJson
      ? Buffer.from(
          `${JSON.stringify((response.body as {json: unknown}).json)}\n`,
        )
      : (response.body as Uint8Array);
    res.writeHead(response.status, {
      ...(isJson ? {'content-type': 'application/json'} : {}),
      'content-length': bytes.byteLength,
      ...this.opts.commonHeaders(),
      ...response.headers,
      ...(this.isClosing ? {connection: 'close'} : {}),
    });
    res.end(bytes);
  }
}

/**
 * Resolves when the whole response was passed to the operating system, or its
 * connection was closed.
 */
function closed(res: ServerResponse): Promise<void> {
  return new Promise(resolve => {
    if (res.closed) {
      resolve();
      return;
    }
    res.once('close', resolve);
  });
}

function parseUrl(text: string): URL {
  try {
    return new URL(text, 'http://papayarun');
  } catch {
    throw DispatchError.notRun(
      'badRequest',
      'the request target is not a valid URL',
      {field: 'url'},
    );
  }
}

function readBody(raw: IncomingMessage, maxBytes: number): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    raw.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= maxBytes) {
        chunks.push(chunk);
        return;
      }
      chunks.length = 0;
      reject(
        DispatchError.notRun('tooLarge', `the body exceeds ${maxBytes} bytes`, {
          field: 'body',
        }),
      );
    });
    raw.on('end', () => resolve(Buffer.concat(chunks)));
    raw.on('error', reject);
    raw.on('close', () => {
      if (!raw.complete) {
        reject(
          DispatchError.notRun(
            'cancelled',
            'the connection closed before the request was complete',
          ),
        );
      }
    });
  });
}
