import {spawnSync} from 'node:child_process';

/** Program of a process that sends requests and closes each connection at once. */
const PROGRAM = `
  const {connect} = require('node:net');
  const [host, port, ...requests] = process.argv.slice(1);
  for (const text of requests) {
    const socket = connect(Number(port), host, () =>
      socket.write(text, () => socket.destroy()));
  }
`;

/** HTTP request of a caller that doesn't wait for the answer. */
interface LeftRequest {
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Sent as JSON. */
  readonly body?: unknown;
}

/**
 * Sends requests, each on a connection that is closed at once. Blocks this process
 * until all have been sent, so that it reads none of them before.
 *
 * @param address - Address in the form `HOST:PORT`.
 * @param requests - The requests.
 * @returns Nothing; the requests and the ends of their connections have arrived.
 * @throws Error if the process that sends them fails.
 * @example
 * sendAndLeave('127.0.0.1:8161', [{method: 'GET', path: '/'}]);
 */
export function sendAndLeave(
  address: string,
  requests: readonly LeftRequest[],
): void {
  const [host, port] = address.split(':');
  const {status, stderr} = spawnSync(
    process.execPath,
    ['--eval', PROGRAM, host!, port!, ...requests.map(textOf)],
    {encoding: 'utf8'},
  );
  if (status !== 0) {
    throw new Error(`callers failed: ${stderr}`);
  }
}

function textOf({method, path, headers, body}: LeftRequest): string {
  const content = body === undefined ? '' : JSON.stringify(body);
  const fields = {
    host: 'a.example',
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(content)),
    ...headers,
  };
  return [
    `${method} ${path} HTTP/1.1`,
    ...Object.entries(fields).map(([name, value]) => `${name}: ${value}`),
    '',
    content,
  ].join('\r\n');
}
