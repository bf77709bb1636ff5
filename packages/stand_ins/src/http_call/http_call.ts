import type {Agent} from 'node:http';
import {request} from 'node:http';

/**
 * Response to an HTTP call.
 */
export interface HttpResult {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/**
 * Request of an HTTP call.
 */
export interface HttpCall {
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Without an agent the call uses a connection of its own. */
  readonly agent?: Agent;
  /**
   * Maximum time without socket activity in milliseconds; no limit by default.
   */
  readonly timeoutMs?: number;
}

/**
 * Sends a request to an HTTP server on the loopback address.
 *
 * @param call - Request and port of the server.
 * @returns Status, headers and body.
 * @throws Error when the call fails or the response is incomplete.
 * @example
 * const res = await httpCall({port, method: 'GET', path: '/health/ready'});
 */
export function httpCall(call: HttpCall): Promise<HttpResult> {
  return new Promise((resolve, reject) => {
    const req = request({
      host: '127.0.0.1',
      port: call.port,
      method: call.method,
      path: call.path,
      agent: call.agent ?? false,
      headers: {
        ...call.headers,
        'content-length': Buffer.byteLength(call.body ?? ''),
      },
    });
    if (call.timeoutMs !== undefined) {
      req.setTimeout(call.timeoutMs, () =>
        req.destroy(new Error('HTTP call timed out')),
      );
    }
    req.on('error', reject);
    req.on('response', res => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('error', reject);
      res.on('end', () => {
        if (!res.complete) {
          reject(new Error('HTTP response was truncated'));
          return;
        }
        const text = Buffer.concat(chunks).toString('utf8');
        resolve({status: res.statusCode!, headers: res.headers, text});
      });
    });
    req.end(call.body);
  });
}
