import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {EventLog, Refusal} from '@papayarun/protocol';
import {DispatchError, refusalOf} from '@papayarun/protocol';
import type {HttpResponse} from './http_response.js';
import type {HttpRoute} from './http_route.js';
import {matchPath} from './match_path.js';
import {refusalResponse} from './refusal_response.js';

const MAX_HEADER_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const KEEP_ALIVE_MS = 30_000;

/**
 * What an HTTP listener needs.
 */
export interface HttpAppOptions {
  readonly routes: readonly HttpRoute[];
  readonly log: EventLog;
  readonly maxBodyBytes: number;
  readonly maxConnections: number;
  /** Refuses a request before its body is read; for keys. */
  readonly guard?: (req: IncomingMessage, path: string) => Refusal | undefined;
  /** Headers of every answer. */
  readonly commonHeaders: () => Readonly<Record<string, string>>;
}

/**
 * HTTP listener with routes, bounds and an orderly end.
 */
export class HttpApp {
  private active = 0;
  private closing = false;

  private constructor(
    private readonly opts: HttpAppOptions,
    private readonly server: Server,
  ) {}

  /**
   * Listens.
   *
   * @param opts - Routes, bounds and log.
   * @param listen - Address; port 0 lets the system choose.
   * @returns The listener.
   * @throws Error when the address can't be used.
   * @example
   * const app = await HttpApp.create(opts, {host: '127.0.0.1', port: 0});
   */
  static async create(
    opts: HttpAppOptions,
    listen: {readonly host: string; readonly port: number},
  ): Promise<HttpApp> {
    const server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
    });
    server.maxConnections = opts.maxConnections;
    const app = new HttpApp(opts, server);
    server.on('request', (req, res) => void app.serve(req, res));
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(listen.port, listen.host, resolve);
    });
    return app;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Requests in progress. */
  get inProgress(): number {
    return this.active;
  }

  /** Tells clients, with each answer, to use another connection next. */
  beginClose(): void {
    this.closing = true;
  }

  /** Stops listening; connections close once their request is answered. */
  stopListening(): void {
    this.closing = true;
    this.server.close();
  }

  /** Closes what is left. */
  closeAll(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(
    raw: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    this.active++;
    const gone = new AbortController();
    res.on('close', () => {
      if (!res.writableFinished) {
        gone.abort(
          DispatchError.notRun('cancelled', 'the caller closed the connection'),
        );
      }
    });
    try {
      this.send(res, await this.answer(raw, gone.signal));
    } catch (err) {
      const refusal = refusalOf(err);
      if (refusal.code === 'internal') {
        this.opts.log.emit('unexpected', {err: (err as Error).stack});
      }
      this.send(res, refusalResponse(refusal));
    } finally {
      this.active--;
    }
  }

  private async answer(
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
        const body = await readBody(raw, this.opts.maxBodyBytes);
        const {pathname: path, searchParams: query} = url;
        return await this.logged(
          route.handle({raw, path, query, params, body, signal}),
          path,
        );
      }
    }
    raw.resume();
    const text = `no ${raw.method} ${url.pathname} here`;
    return refusalResponse(DispatchError.notRun('notFound', text).refusal);
  }

  private async logged(
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
      ...(this.closing ? {connection: 'close'} : {}),
    });
    res.end(bytes);
  }
}

function parseUrl(text: string): URL {
  try {
    return new URL(text, 'http://papayarun');
  } catch {
    throw DispatchError.notRun(
      'badRequest',
      'the request target is not a URL',
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
            'the connection closed within the request',
          ),
        );
      }
    });
  });
}
