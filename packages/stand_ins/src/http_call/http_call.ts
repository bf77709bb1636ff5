import type {Agent} from 'node:http';
import {request} from 'node:http';

/**
 * What an HTTP call brought.
 */
export interface HttpResult {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/**
 * Call to make.
 */
export interface HttpCall {
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly agent?: Agent;
  readonly timeoutMs?: number;
}

/**
 * Calls an HTTP server on the loopback address.
 *
 * @param call - What to send, and where.
 * @returns Status, headers and body.
 * @throws Error when no whole answer came.
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
      req.setTimeout(call.timeoutMs, () => req.destroy(new Error('timed out')));
    }
    req.on('error', reject);
    req.on('response', res => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('error', reject);
      res.on('end', () => {
        if (!res.complete) {
          reject(new Error('truncated'));
          return;
        }
        const text = Buffer.concat(chunks).toString('utf8');
        resolve({status: res.statusCode!, headers: res.headers, text});
      });
    });
    req.end(call.body);
  });
}
