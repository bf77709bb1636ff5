import {once} from 'node:events';
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {SilentLog} from '@papayarun/test_kit';
import {afterEach, describe, expect, it} from 'vitest';
import {SegmentPool} from '../growing_buffer/segment_pool.js';
import type {LimitKind} from '../limit_monitor/limit_kind.js';
import {TransferBudget} from '../transfer_budget/transfer_budget.js';
import {HttpApp} from './http_app.js';

const KIB = 1024;
const BUDGET_BYTES = 400 * KIB;
const BODY_BYTES = 200 * KIB;
const MAX_CONNECTIONS = 20;
const HEAD = 'POST /job HTTP/1.1\r\nhost: localhost\r\n';
const SMALL_REQUEST = `${HEAD}content-length: 5\r\n\r\nsmall`;

describe('HttpApp', () => {
  let app: HttpApp;
  let nowMs = 0;
  const bodies: number[] = [];
  const limits: LimitKind[] = [];
  const sockets: Socket[] = [];

  afterEach(() => {
    sockets.splice(0).forEach(socket => socket.destroy());
    bodies.length = 0;
    limits.length = 0;
    app.closeAll();
  });

  async function start(): Promise<void> {
    app = await HttpApp.create(
      {
        routes: [
          {
            method: 'POST',
            path: '/job',
            handle: ({body}) => {
              bodies.push(body.length);
              return Promise.resolve({status: 200, body: {json: {}}});
            },
          },
        ],
        log: SilentLog.create(),
        maxBodyBytes: BODY_BYTES,
        maxConnections: MAX_CONNECTIONS,
        limits: {
          budget: TransferBudget.create(BUDGET_BYTES, () => nowMs),
          pool: SegmentPool.create(BUDGET_BYTES),
          onLimit: limit => limits.push(limit),
        },
        commonHeaders: () => ({}),
      },
      {host: '127.0.0.1', port: 0},
    );
  }

  /** Opens a connection and sends; returns the text that was received so far. */
  function send(bytes: string): {
    readonly received: () => string;
    readonly socket: Socket;
  } {
    const socket = connect(app.port, '127.0.0.1');
    let text = '';
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', (data: Buffer) => {
      text += data.toString('latin1');
    });
    socket.write(bytes);
    return {received: () => text, socket};
  }

  /** Request whose body has a length, and lacks its last byte. */
  function unfinished(bytes: number): string {
    return `${HEAD}content-length: ${bytes}\r\n\r\n${' '.repeat(bytes - 1)}`;
  }

  const used = (): number => app['opts'].limits.budget.bytesInUse;

  it('refuses a body for which there is no memory, as not run, and serves small ones', async () => {
    await start();
    send(unfinished(BODY_BYTES));
    await waitFor(() => used() > BODY_BYTES);
    const refused = send(unfinished(BODY_BYTES));
    await waitFor(() => refused.received().includes('}\n'));
    expect(refused.received()).toContain('503 Service Unavailable');
    expect(refused.received()).toMatch(/retry-after: 1\r\n/i);
    expect(refused.received()).toMatch(/papayarun-verdict: notRun\r\n/i);
    expect(bodies).toEqual([]);
    expect(limits).toEqual(['bodyRefused']);
    const small = send(SMALL_REQUEST);
    await waitFor(() => small.received().includes('200 OK'));
  });

  // A crowd that was there first would have kept all others out until its timeout.
  it('gives up a body that has stopped for one that needs its memory', async () => {
    await start();
    const stopped = send(unfinished(BODY_BYTES));
    await waitFor(() => used() > BODY_BYTES);
    nowMs += 200;
    const {received, socket} = send(unfinished(BODY_BYTES));
    socket.write(' ');
    await waitFor(() => received().includes('200 OK'));
    await waitFor(() => stopped.received().includes('503'));
    stopped.socket.write(' ');
    expect(limits).toEqual(['bodyEvicted']);
    // The last byte of the body that was given up makes no request of it.
    await waitFor(() => used() === 0);
    expect(bodies).toEqual([BODY_BYTES]);
  });

  it('gives up a body that takes too long', async () => {
    await start();
    const stopped = send(unfinished(1_000));
    await waitFor(() => used() > 0);
    nowMs += 11_000;
    await waitFor(() => stopped.received().includes('503'));
    expect(limits).toEqual(['bodyTooSlow']);
    await waitFor(() => stopped.socket.closed);
  });

  it('closes connections without a whole request for new ones', async () => {
    await start();
    for (let n = 0; n < MAX_CONNECTIONS; n++) {
      send(n % 2 ? HEAD : '');
    }
    // Whether the first ones find a free connection depends on how soon the listener
    // notices that there is none.
    await expect
      .poll(
        async () => {
          const {received, socket} = send(SMALL_REQUEST);
          const closed = once(socket, 'close');
          await Promise.race([closed, once(socket, 'data')]);
          return received();
        },
        {timeout: 10_000},
      )
      .toContain('200 OK');
    expect(limits).toContain('connectionEvicted');
  });

  it('gives back the memory of each request', async () => {
    await start();
    const whole = send(SMALL_REQUEST);
    const left = send(unfinished(BODY_BYTES));
    await waitFor(() => whole.received().includes('200 OK'));
    await waitFor(() => used() > BODY_BYTES);
    left.socket.destroy();
    await waitFor(() => used() === 0);
  });
});

async function waitFor(isDone: () => boolean): Promise<void> {
  await expect.poll(isDone, {timeout: 10_000}).toBe(true);
}
