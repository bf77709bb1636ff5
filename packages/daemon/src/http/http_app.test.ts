import {once} from 'node:events';
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {SilentLog} from '@papayarun/test_kit';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {createHttpLimits} from './_lib/create_http_limits.js';
import {HttpApp} from './http_app.js';
import type {HttpRoute} from './http_route.js';

const WAITING_CONNECTIONS = 60;
/** More than the operating system buffers for a connection. */
const LARGE_ANSWER_BYTES = 64 * 1024 * 1024;
const REQUEST = 'GET /small HTTP/1.1\r\nhost: localhost\r\n\r\n';
const HEALTH_REQUEST = 'GET /health HTTP/1.1\r\nhost: localhost\r\n\r\n';
const LARGE_REQUEST = 'GET /large HTTP/1.1\r\nhost: localhost\r\n\r\n';

describe('HttpApp', () => {
  let app: HttpApp;
  let handled: number;
  const sockets: Socket[] = [];

  beforeEach(async () => {
    handled = 0;
    const route = (path: string, body: Buffer): HttpRoute => ({
      method: 'GET',
      path,
      handle: () => {
        handled++;
        return Promise.resolve({status: 200, body});
      },
    });
    app = await HttpApp.create(
      {
        routes: [
          route('/small', Buffer.from('whole')),
          {...route('/health', Buffer.from('whole')), isPeriodic: true},
          route('/large', Buffer.alloc(LARGE_ANSWER_BYTES)),
        ],
        log: SilentLog.create(),
        maxBodyBytes: 1_024,
        maxConnections: 100,
        limits: createHttpLimits(),
        commonHeaders: () => ({}),
      },
      {host: '127.0.0.1', port: 0},
    );
  });

  afterEach(() => {
    for (const socket of sockets.splice(0)) {
      socket.destroy();
    }
    app.closeAll();
  });

  function openConnection(): Socket {
    const socket = connect(app.port, '127.0.0.1');
    sockets.push(socket);
    return socket;
  }

  // The status of an instance that shuts down, which has the port, failed.
  it('knows its port when it listens no more', async () => {
    const {port} = app;
    expect(port).toBeGreaterThan(0);
    await app.stopListening();
    expect(app.port).toBe(port);
    app.closeAll();
    expect(app.port).toBe(port);
  });

  it('does not take an answer for sent while the client has yet to read a part of it', async () => {
    const socket = openConnection();
    socket.pause();
    socket.write(LARGE_REQUEST);
    await waitFor(() => handled === 1);
    await pause();
    expect(app.inProgress).toBe(1);
    let received = 0;
    socket.on('data', (chunk: Buffer) => {
      received += chunk.length;
    });
    socket.resume();
    await waitFor(() => app.inProgress === 0);
    await waitFor(() => received > LARGE_ANSWER_BYTES);
  });

  it('answers a request that was sent on an idle connection but not read when it stops listening', async () => {
    const socket = openConnection();
    const received = collect(socket);
    socket.write(REQUEST);
    await waitFor(() => received().includes('whole'));
    socket.write(REQUEST);
    await app.stopListening();
    await waitFor(() => received().split('whole').length === 3);
    expect(received()).toMatch(/connection: close/i);
    await waitFor(() => socket.closed);
  });

  it('answers requests on connections that were not accepted when it stops listening', async () => {
    const answers = await Promise.all(
      Array.from({length: WAITING_CONNECTIONS}, async () => {
        const socket = openConnection();
        const received = collect(socket);
        await once(socket, 'connect');
        await new Promise(resolve => socket.write(REQUEST, resolve));
        return received;
      }),
    );
    await app.stopListening();
    await waitFor(() =>
      answers.every(received => received().includes('whole')),
    );
  });

  it('answers a request on an idle connection after it has stopped listening', async () => {
    const socket = openConnection();
    const received = collect(socket);
    socket.write(REQUEST);
    await waitFor(() => received().includes('whole'));
    const {port} = app;
    await app.stopListening();
    socket.write(REQUEST);
    await app.closeIdleConnections();
    await waitFor(() => received().split('whole').length === 3);
    const refused = connect(port, '127.0.0.1');
    await expect(once(refused, 'connect')).rejects.toThrow('ECONNREFUSED');
  });

  it('does not cut off an answer that the client has yet to read when it closes idle connections', async () => {
    const socket = openConnection();
    socket.pause();
    socket.write(LARGE_REQUEST);
    await waitFor(() => handled === 1);
    await pause();
    await app.stopListening();
    await app.closeIdleConnections();
    let received = 0;
    socket.on('data', (chunk: Buffer) => {
      received += chunk.length;
    });
    socket.on('error', () => undefined);
    socket.resume();
    await waitFor(() => socket.closed || received > LARGE_ANSWER_BYTES);
    expect(received).toBeGreaterThan(LARGE_ANSWER_BYTES);
  });

  it('does not close a connection whose first request is on the way', async () => {
    const socket = openConnection();
    const received = collect(socket);
    await once(socket, 'connect');
    await app.stopListening();
    await app.closeIdleConnections();
    socket.write(REQUEST);
    await waitFor(() => received().includes('whole'));
  });

  it('does not close a connection on which a part of a request has arrived', async () => {
    const socket = openConnection();
    const received = collect(socket);
    const half = REQUEST.length / 2;
    socket.write(REQUEST);
    await waitFor(() => received().includes('whole'));
    socket.write(REQUEST.slice(0, half));
    await app.closeIdleConnections();
    socket.write(REQUEST.slice(half));
    await waitFor(() => received().split('whole').length === 3);
  });

  it('closes idle connections on request', async () => {
    const socket = openConnection();
    const received = collect(socket);
    socket.write(REQUEST);
    await waitFor(() => received().includes('whole'));
    await app.stopListening();
    expect(socket.closed).toBe(false);
    await app.closeIdleConnections();
    await waitFor(() => socket.closed);
  });

  it('does not take health checks for a use of the server by clients', async () => {
    const socket = openConnection();
    const received = collect(socket);
    socket.write(HEALTH_REQUEST);
    await waitFor(() => received().includes('whole'));
    expect(app.receivedFromClients).toBe(0);
    socket.write(REQUEST);
    await waitFor(() => received().split('whole').length === 3);
    expect(app.receivedFromClients).toBe(1);
  });

  // Node.js tells the end of a connection to the first of its responses alone, so the
  // others were taken for requests in progress for good.
  it('counts none of several requests of a client that has left', async () => {
    const socket = openConnection();
    socket.pause();
    socket.write(LARGE_REQUEST + REQUEST + REQUEST);
    await waitFor(() => handled === 3);
    expect(app.inProgress).toBe(3);
    socket.destroy();
    await waitFor(() => app.inProgress === 0);
  });

  // Each connection could have thousands of requests in progress.
  it('closes a connection with too many requests at once', async () => {
    const socket = openConnection();
    socket.pause();
    socket.on('error', () => undefined);
    socket.write(LARGE_REQUEST.repeat(17));
    await waitFor(() => handled >= 16);
    await waitFor(() => app.inProgress === 0);
    expect(handled).toBe(16);
  });

  it('counts no request of a client that has left', async () => {
    const socket = openConnection();
    socket.pause();
    socket.write(LARGE_REQUEST);
    await waitFor(() => handled === 1);
    socket.destroy();
    await waitFor(() => app.inProgress === 0);
  });
});

/** Collects what is received; returns a function that gives it as text. */
function collect(socket: Socket): () => string {
  let text = '';
  socket.on('data', (chunk: Buffer) => {
    text += chunk.toString('latin1');
  });
  socket.on('error', () => undefined);
  return () => text;
}

/** Runs the event loop for a few rounds. */
async function pause(): Promise<void> {
  for (let round = 0; round < 20; round++) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

async function waitFor(isDone: () => boolean): Promise<void> {
  await expect.poll(isDone, {timeout: 10_000}).toBe(true);
}
