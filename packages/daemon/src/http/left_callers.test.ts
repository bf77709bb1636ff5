import {once} from 'node:events';
import {connect} from 'node:net';
import {sendAndLeave, SilentLog} from '@papayarun/test_kit';
import {SystemClock} from '@papayarun/protocol';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {afterNextReading} from '../loop_lag/after_next_reading.js';
import {createHttpLimits} from './_lib/create_http_limits.js';
import {HttpApp} from './http_app.js';

const CALLERS = 40;
const clock = SystemClock.create();
describe('HttpApp', () => {
  let app: HttpApp;
  /** Whether each request was aborted after the next reading. */
  let aborted: boolean[];

  beforeEach(async () => {
    aborted = [];
    app = await HttpApp.create(
      {
        routes: [
          {
            method: 'GET',
            path: '/',
            handle: async ({signal}) => {
              await afterNextReading(clock);
              aborted.push(signal.aborted);
              return {status: 200, body: Buffer.from('whole')};
            },
          },
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

  afterEach(() => app.closeAll());

  it('knows of each caller that left unread when the end of its connection has been read', async () => {
    const requests = Array.from({length: CALLERS}, () => ({
      method: 'GET',
      path: '/',
    }));
    sendAndLeave(`127.0.0.1:${app.port}`, requests);
    await app.readArrived();
    await afterNextReading(clock);
    expect(aborted).toEqual(Array.from({length: CALLERS}, () => true));
  });

  it('does not abort the request of a caller that waits for its answer', async () => {
    const socket = connect(app.port, '127.0.0.1');
    socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
    const [answer] = (await once(socket, 'data')) as [Buffer];
    socket.destroy();
    expect(answer.toString()).toContain('whole');
    expect(aborted).toEqual([false]);
  });
});
