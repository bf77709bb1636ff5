import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {Server as NetServer} from 'node:net';
import type {EventLog, Refusal} from '@papayarun/protocol';
import {
  DispatchError,
  refusalFromError,
  SystemClock,
} from '@papayarun/protocol';
import type {LimitKind} from '../limit_monitor/limit_kind.js';
import {afterReading} from '../loop_lag/after_reading.js';
import type {Transfer} from '../transfer_budget/transfer.js';
import type {TransferEnd} from '../transfer_budget/transfer_end.js';
import type {HttpLimits} from './http_limits.js';
import {HTTP_TIMEOUTS} from './http_timeouts.js';
import type {HttpResponse} from './http_response.js';
import type {HttpRoute} from './http_route.js';
import {matchPath} from './match_path.js';
import {OpenConnections} from './open_connections.js';
import {overloadedError} from './overloaded_error.js';
import {readBody} from './read_body.js';
import {ReadingTurn} from './reading_turn.js';
import {refusalResponse} from './refusal_response.js';

const MAX_HEADER_BYTES = 16 * 1024;
const REQUEST_TIMEOUT_MS = 60_000;
/** Interval of the checks for transfers and headers that are too slow, in milliseconds. */
const CHECK_MS = 1_000;
/** Requests in progress on one connection; ordinary clients have one. */
const MAX_PIPELINED = 16;
/** Memory of a request beside its headers and its body, in bytes. */
const REQUEST_BYTES = 4 * 1024;
/** Response up to which the memory is not limited, in bytes. */
const SMALL_RESPONSE_BYTES = 16 * 1024;
/**
 * Time in which a client may send the rest of a request that was refused, in
 * milliseconds; it may not read the answer before.
 */
const DISCARD_MS = 2_000;
/** Pieces that it may send meanwhile. */
const MAX_DISCARDED_PIECES = 4_096;
/** Bytes that are read of it; more would be garbage of many times their size. */
const MAX_DISCARDED_BYTES = 512 * 1024;
/** Connections kept free for those that arrive before others have been closed. */
const SPARE_CONNECTIONS = 64;
const SPARE_SHARE = 0.1;
/** Age from which an unfinished request may be given up for a connection, in ms. */
const MIN_DISPLACED_AGE_MS = 1_000;
const CLOCK = SystemClock.create();
/** How the end of a body that is not whole is counted. */
const LIMIT_OF_BODY: Readonly<Record<TransferEnd, LimitKind>> = {
  evicted: 'bodyEvicted',
  displaced: 'bodyEvicted',
  tooSlow: 'bodyTooSlow',
  fragmented: 'bodyFragmented',
};
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
  /** Limits that this listener shares with the others of its process. */
  readonly limits: HttpLimits;
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
  private readonly connections = OpenConnections.create(() => CLOCK.now());
  private readonly turn: ReadingTurn;
  private readonly checkTimer: NodeJS.Timeout;
  private isClosing = false;
  private listenedPort = 0;

  private constructor(
    private readonly opts: HttpAppOptions,
    private readonly server: Server,
  ) {
    this.turn = ReadingTurn.create(this.connections, opts.maxConnections);
    // What arrived while the process stood still is read before the check.
    this.checkTimer = setInterval(
      () => void afterReading().then(() => this.checkLimits()),
      CHECK_MS,
    ).unref();
  }

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
      headersTimeout: HTTP_TIMEOUTS.headersMs,
      requestTimeout: REQUEST_TIMEOUT_MS,
      keepAliveTimeout: HTTP_TIMEOUTS.keepAliveMs,
      connectionsCheckingInterval: CHECK_MS,
    });
    server.maxConnections = opts.maxConnections;
    const app = new HttpApp(opts, server);
    server.on('connection', socket => {
      app.arrivals++;
      app.connections.add(socket);
      app.keepSpareConnections();
    });
    server.on('drop', () => {
      opts.limits.onLimit('connectionDropped');
      app.keepSpareConnections();
    });
    server.on('request', (req, res) => void app.handleRequest(req, res));
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(listen.port, listen.host, LISTEN_BACKLOG, resolve);
    });
    app.listenedPort = (server.address() as AddressInfo).port;
    return app;
  }

  /** Port on which it listens, or did until it was closed. */
  get port(): number {
    return this.listenedPort;
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
    clearInterval(this.checkTimer);
    this.server.close();
    this.server.closeAllConnections();
  }

  private checkLimits(): void {
    this.opts.limits.budget.endSlow();
    for (let n = 0; n < SPARE_CONNECTIONS && this.keepSpareConnections(); n++) {
      // Closes one after the other.
    }
  }

  /**
   * Closes a connection without a whole request if few more are allowed.
   *
   * @returns Whether one was closed.
   */
  private keepSpareConnections(): boolean {
    const {maxConnections, limits} = this.opts;
    const spare = Math.min(SPARE_CONNECTIONS, maxConnections * SPARE_SHARE);
    if (this.connections.count <= maxConnections - spare) {
      return false;
    }
    const isClosed =
      this.connections.closeUnfinished() ||
      limits.budget.endSlowest(this, MIN_DISPLACED_AGE_MS);
    if (isClosed) {
      limits.onLimit('connectionEvicted');
    }
    return isClosed;
  }

  private async handleRequest(
    raw: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const {socket} = raw;
    this.turn.addRequest();
    if (socket.destroyed) {
      // Rest of what was read from a connection before it was closed below.
      return;
    }
    if (this.connections.requestsOn(socket) >= MAX_PIPELINED) {
      this.opts.limits.onLimit('requestsPipelined');
      this.connections.close(socket);
      return;
    }
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
    const ending = new AbortController();
    const transfer = this.opts.limits.budget.start(this, cause =>
      this.endTransfer(cause, raw, ending),
    );
    try {
      const response = await this.routeRequest(
        raw,
        disconnection.signal,
        transfer,
        ending.signal,
      );
      this.send(raw, res, response, transfer);
    } catch (err) {
      const refusal = refusalFromError(err);
      if (refusal.code === 'internal') {
        this.opts.log.emit('unexpected', {err: (err as Error).stack});
      }
      this.send(raw, res, refusalResponse(refusal), transfer);
    } finally {
      this.limitDiscarding(raw);
      await this.responseClosed(socket, res);
      transfer.release();
      this.connections.requestEnded(socket, abort);
      this.activeRequests--;
    }
  }

  /**
   * Resolves when the whole response was passed to the operating system, or its
   * connection was closed. The HTTP server tells this of the first one alone of several
   * responses that wait for a connection.
   */
  private responseClosed(socket: Socket, res: ServerResponse): Promise<void> {
    return new Promise(resolve => {
      if (res.closed) {
        resolve();
        return;
      }
      const removeHandler = this.connections.onceClosed(socket, resolve);
      res.once('close', () => {
        removeHandler();
        resolve();
      });
    });
  }

  /** Refuses a request whose transfer was ended, or closes its connection. */
  private endTransfer(
    cause: TransferEnd,
    raw: IncomingMessage,
    ending: AbortController,
  ): void {
    const isAnswered = raw.complete;
    this.opts.limits.onLimit(
      isAnswered ? 'answerUnread' : LIMIT_OF_BODY[cause],
    );
    if (isAnswered || cause === 'fragmented' || cause === 'displaced') {
      this.connections.close(raw.socket);
      return;
    }
    ending.abort(overloadedError('the body did not arrive in time'));
  }

  private async routeRequest(
    raw: IncomingMessage,
    signal: AbortSignal,
    transfer: Transfer,
    ending: AbortSignal,
  ): Promise<HttpResponse> {
    const baseBytes = REQUEST_BYTES + headerBytes(raw);
    if (raw.method === 'GET') {
      // Checks of readiness and metrics are needed most when memory is short.
      transfer.force(baseBytes);
    } else if (!transfer.reserve(baseBytes)) {
      raw.resume();
      this.opts.limits.onLimit('bodyRefused');
      throw overloadedError('no memory for the request');
    }
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
        const body = await readBody(raw, {
          maxBytes: this.opts.maxBodyBytes,
          baseBytes,
          transfer,
          pool: this.opts.limits.pool,
          signal: ending,
          onPiece: () => this.turn.addPiece(),
          onRefused: () => this.opts.limits.onLimit('bodyRefused'),
        });
        transfer.startHandling();
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

  /** Closes the connection of a request that was answered, but goes on for long. */
  private limitDiscarding(raw: IncomingMessage): void {
    if (raw.complete || raw.destroyed) {
      return;
    }
    const {socket} = raw;
    let pieces = 0;
    let bytes = 0;
    const timer = setTimeout(
      () => this.connections.close(socket),
      DISCARD_MS,
    ).unref();
    raw.on('data', (piece: Buffer) => {
      this.turn.addPiece();
      bytes += piece.length;
      if (bytes > MAX_DISCARDED_BYTES) {
        raw.pause();
      }
      if (++pieces > MAX_DISCARDED_PIECES) {
        this.connections.close(socket);
      }
    });
    raw.once('end', () => clearTimeout(timer));
    raw.once('close', () => clearTimeout(timer));
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

  private send(
    raw: IncomingMessage,
    res: ServerResponse,
    response: HttpResponse,
    transfer: Transfer,
  ): void {
    if (res.destroyed || res.headersSent) {
      return;
    }
    const isJson = 'json' in response.body;
    const bytes = isJson
      ? Buffer.from(
          `${JSON.stringify((response.body as {json: unknown}).json)}\n`,
        )
      : (response.body as Uint8Array);
    const size = bytes.byteLength;
    if (size <= SMALL_RESPONSE_BYTES || raw.method !== 'GET') {
      // What has run is answered, whatever memory there is.
      transfer.force(size);
    } else if (!transfer.reserve(size)) {
      this.opts.limits.onLimit('answerRefused');
      const {refusal} = overloadedError('no memory for the answer');
      this.send(raw, res, refusalResponse(refusal), transfer);
      return;
    }
    transfer.startSending(size);
    res.writeHead(response.status, {
      ...(isJson ? {'content-type': 'application/json'} : {}),
      'content-length': size,
      ...this.opts.commonHeaders(),
      ...response.headers,
      ...(this.isClosing ? {connection: 'close'} : {}),
    });
    res.end(bytes);
  }
}

function headerBytes(raw: IncomingMessage): number {
  return raw.rawHeaders.reduce((sum, text) => sum + text.length, 0);
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
