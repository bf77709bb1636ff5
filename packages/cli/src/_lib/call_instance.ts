import type {IncomingHttpHeaders} from 'node:http';
import {request} from 'node:http';

const DEFAULT_TIMEOUT_MS = 60_000;

/**
 * Answer of an instance.
 */
export interface InstanceAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
}

/**
 * Failure to get a whole answer, with what is known of the request.
 */
export class CallFailure extends Error {
  private constructor(
    message: string,
    readonly connected: boolean,
  ) {
    super(message);
  }

  static create(message: string, connected: boolean): CallFailure {
    return new CallFailure(message, connected);
  }
}

/**
 * Calls an instance over HTTP.
 *
 * @param url - Whole address.
 * @param method - HTTP method.
 * @param headers - Headers besides the content length.
 * @param body - Body, if any.
 * @returns The whole answer.
 * @throws CallFailure when no whole answer came.
 */
export function callInstance(
  url: URL,
  method: string,
  headers: Readonly<Record<string, string>>,
  body?: Uint8Array,
): Promise<InstanceAnswer> {
  return new Promise((resolve, reject) => {
    let connected = false;
    const fail = (err: Error): void =>
      reject(CallFailure.create(`${url.origin}: ${err.message}`, connected));
    const req = request(url, {
      method,
      agent: false,
      headers: {...headers, 'content-length': body?.byteLength ?? 0},
      timeout: DEFAULT_TIMEOUT_MS,
    });
    req.on('socket', socket =>
      socket.once('connect', () => (connected = true)),
    );
    req.on('timeout', () => req.destroy(new Error('no answer in time')));
    req.on('error', fail);
    req.on('response', res => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('error', fail);
      res.on('end', () => {
        if (!res.complete) {
          fail(new Error('the answer was truncated'));
          return;
        }
        const text = Buffer.concat(chunks).toString('utf8');
        resolve({status: res.statusCode!, headers: res.headers, text});
      });
    });
    req.end(body);
  });
}
