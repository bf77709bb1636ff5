import {once} from 'node:events';
import {connect} from 'node:net';
import {sendAndLeave, SilentLog} from '@papayarun/test_kit';
import type {KindId, Outcome, Work} from '@papayarun/protocol';
import {SystemClock} from '@papayarun/protocol';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {createHttpLimits} from '../http/_lib/create_http_limits.js';
import {HttpApp} from '../http/http_app.js';
import type {CallerApiOptions} from './caller_api_options.js';
import {callerRoutes} from './caller_routes.js';

const CALLERS = 40;
const PATH = '/v1/services/outage-report/run';
const HEADERS = {'papayarun-repeatable': 'true'};

describe('An instance whose callers leave before it reads their requests', () => {
  let app: HttpApp;
  let started: Work[];

  beforeEach(async () => {
    started = [];
    const run = (work: Work): Promise<Outcome> => {
      started.push(work);
      return Promise.resolve({
        kind: 'answered',
        answer: {
          status: 200,
          contentType: 'text/plain',
          body: Buffer.from('whole'),
          release: 1,
        },
      } as unknown as Outcome);
    };
    const opts: Partial<CallerApiOptions> = {
      clock: SystemClock.create(),
      defaultDeadlineMs: 1_000,
      policy: {
        resolveKind: (kind: KindId) => kind,
      } as unknown as CallerApiOptions['policy'],
      isReady: () => true,
      runRepeatable: run,
    };
    app = await HttpApp.create(
      {
        routes: callerRoutes(opts as CallerApiOptions),
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

  it('starts no repeatable work of theirs, and that of a caller that stays', async () => {
    const requests = Array.from({length: CALLERS}, () => ({
      method: 'POST',
      path: PATH,
      headers: HEADERS,
    }));
    sendAndLeave(`127.0.0.1:${app.port}`, requests);
    // It is read after those that came before.
    const socket = connect(app.port, '127.0.0.1');
    const lines = [
      `POST ${PATH} HTTP/1.1`,
      'host: a',
      'content-length: 0',
      ...Object.entries(HEADERS).map(([name, value]) => `${name}: ${value}`),
    ];
    socket.write(`${lines.join('\r\n')}\r\n\r\n`);
    const [answer] = (await once(socket, 'data')) as [Buffer];
    socket.destroy();
    expect(answer.toString()).toContain('200 OK');
    expect(started).toHaveLength(1);
  });
});
