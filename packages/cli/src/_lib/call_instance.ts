import type {IncomingHttpHeaders} from 'node:http';
import {request} from 'node:http';

const DEFAULT_TIMEOUT_MS = 60_000;

/**
 * HTTP response of an instance.
 */
export interface InstanceResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
}

/**
 * Thrown when an instance does not return a complete response.
 *
 * @description `connected` is false when no connection was established, so that
 * the request was not sent.
 */
export class CallError extends Error {
  private constructor(
    message: string,
    readonly connected: boolean,
  ) {
    super(message);
  }

  static create(message: string, connected: boolean): CallError {
    return new CallError(message, connected);
  }
}

/**
 * Sends an HTTP request to an instance.
 *
 * @param url - Full URL.
 * @param method - HTTP method.
 * @param headers - Headers other than `content-length`.
 * @param body - Body, if any.
 * @returns The complete response.
 * @throws CallError when the instance does not return a complete response.
 */
export function callInstance(
  url: URL,
  method: string,
  headers: Readonly<Record<string, string>>,
  body?: Uint8Array,
): Promise<InstanceResponse> {
  return new Promise((resolve, reject) => {
    let connected = false;
    const fail = (err: Error): void =>
      reject(CallError.create(`${url.origin}: ${err.message}`, connected));
    const req = request(url, {
      method,
      agent: false,
      headers: {...headers, 'content-length': body?.byteLength ?? 0},
      timeout: DEFAULT_TIMEOUT_MS,
    });
    req.on('socket', socket =>
      socket.once('connect', () => (connected = true)),
    );
    req.on('timeout', () => req.destroy(new Error('the request timed out')));
    req.on('error', fail);
    req.on('response', res => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('error', fail);
      res.on('end', () => {
        if (!res.complete) {
          fail(new Error('the response was truncated'));
          return;
        }
        const text = Buffer.concat(chunks).toString('utf8');
        resolve({status: res.statusCode!, headers: res.headers, text});
      });
    });
    req.end(body);
  });
}
