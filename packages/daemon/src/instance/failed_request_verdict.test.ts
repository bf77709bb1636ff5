import type {Server, Socket} from 'node:net';
import {connect, createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import type {Fault, HttpResult} from '@papayarun/stand_ins';
import {
  Caller,
  Cluster,
  FakeTarget,
  httpCall,
  TEST_TIMING,
  waitUntil,
} from '@papayarun/stand_ins';
import {afterEach, beforeAll, afterAll, describe, expect, it} from 'vitest';

const SERVICE = 'gift-card';

describe('verdict of a failed non-repeatable request', () => {
  let cluster: Cluster;
  let prefix: string;
  const caller = Caller.create(SERVICE);
  const targets: FakeTarget[] = [];
  const servers: Server[] = [];

  beforeAll(async () => {
    const members = [
      {id: 'centro-1', dataCentre: 'centro', replica: true},
      {id: 'centro-2', dataCentre: 'centro', replica: false},
    ];
    cluster = await Cluster.create(members, {timing: TEST_TIMING});
    await cluster.startAll();
    prefix = await cluster.fetchIdPrefix('centro-1');
  });

  afterEach(async () => {
    await Promise.all(targets.splice(0).map(target => target.close()));
    servers.splice(0).forEach(server => server.close());
    await waitUntil('targets are gone', 8_000, async () => {
      const responses = await Promise.all(
        ['centro-1', 'centro-2'].map(id =>
          cluster.callOperatorApi(id, 'GET', '/v1/targets'),
        ),
      );
      return responses.every(res => res.text.includes('"targets":[]'));
    });
  });

  afterAll(async () => {
    caller.close();
    await cluster.close();
  });

  async function addTarget(): Promise<FakeTarget> {
    const target = await FakeTarget.create({
      targetId: `runner-${targets.length}`,
      service: SERVICE,
      slots: 8,
      announcePorts: () => cluster.callersPorts(),
      announceMs: 200,
    });
    targets.push(target);
    await waitUntilTargetHasSlots();
    return target;
  }

  async function waitUntilTargetHasSlots(): Promise<void> {
    await waitUntil(
      'an instance lists slots of the target',
      5_000,
      async () => {
        const texts = await Promise.all(
          ['centro-1', 'centro-2'].map(id =>
            cluster.callOperatorApi(id, 'GET', '/v1/queues'),
          ),
        );
        return texts.some(res =>
          /"service":"gift-card","slots":[1-9]/.test(res.text),
        );
      },
    );
    // Both instances must have the free slots from a heartbeat.
    await new Promise(resolve =>
      setTimeout(resolve, 2 * TEST_TIMING.heartbeatMs),
    );
  }

  function send(
    id: string,
    port = cluster.callersPort('centro-1'),
  ): Promise<HttpResult> {
    return caller.send({
      port,
      runMs: 20,
      id,
      headers: {'papayarun-deadline-ms': '4000'},
    });
  }

  function newId(): string {
    return `${prefix}${caller.createOpaqueKeyPart()}`;
  }

  /** Checks that the verdict matches the starts that the target counted. */
  function expectVerdictToMatchStarts(res: HttpResult, starts: number): void {
    const verdict = res.headers['papayarun-verdict'];
    if (verdict === 'notRun') {
      expect(starts).toBe(0);
    }
    if (verdict === 'ran') {
      expect(starts).toBe(1);
    }
    expect(starts).toBeLessThanOrEqual(1);
  }

  const faults: ReadonlyArray<[Fault, string, number]> = [
    ['busy', 'notRun', 0],
    ['beforeHeaders', 'mayHaveRun', 1],
    ['truncate', 'mayHaveRun', 1],
    ['crossed', 'mayHaveRun', 1],
    ['fail', 'ran', 1],
  ];

  it.each(faults)(
    'with the target fault "%s" is %s',
    async (fault, verdict, starts) => {
      const target = await addTarget();
      target.fault = fault;
      for (const instance of ['centro-1', 'centro-2']) {
        const id = newId();
        const res = await send(id, cluster.callersPort(instance));
        expect(res.headers['papayarun-verdict']).toBe(verdict);
        expect(target.starts.get(id) ?? 0).toBe(starts);
        expectVerdictToMatchStarts(res, target.starts.get(id) ?? 0);
      }
    },
  );

  it('allows a resend to start after the verdict notRun', async () => {
    const target = await addTarget();
    target.fault = 'busy';
    const id = newId();
    expect((await send(id)).headers['papayarun-verdict']).toBe('notRun');
    target.fault = 'none';
    await new Promise(resolve => setTimeout(resolve, 100));
    const res = await send(id, cluster.callersPort('centro-2'));
    expect(res.status).toBe(200);
    expect(target.starts.get(id)).toBe(1);
  });

  it('is notRun when nothing listens on the announced address', async () => {
    const target = await addTarget();
    await target.close();
    targets.pop();
    const res = await send(newId());
    expect(res.headers['papayarun-verdict']).toBe('notRun');
  });

  /** Starts a plain TCP server and announces it as a target. */
  async function addSocketTarget(
    serve: (socket: Socket) => void,
  ): Promise<void> {
    const server = createServer(serve);
    servers.push(server);
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const body = JSON.stringify({
      targetId: 'bare',
      boot: `b${(server.address() as AddressInfo).port}`,
      seq: 1,
      state: 'ready',
      service: SERVICE,
      url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
      slots: 4,
      connections: 4,
    });
    await httpCall({
      port: cluster.callersPort('centro-1'),
      method: 'POST',
      path: '/v1/targets',
      body,
    });
    await waitUntilTargetHasSlots();
  }

  it('is mayHaveRun when a target resets the connection after it received bytes', async () => {
    let bytes = 0;
    await addSocketTarget(socket => {
      socket.on('error', () => undefined);
      socket.on('data', data => {
        bytes += data.length;
        socket.resetAndDestroy();
      });
    });
    const res = await send(newId());
    expect(bytes).toBeGreaterThan(0);
    expect(res.headers['papayarun-verdict']).toBe('mayHaveRun');
  });

  it('is mayHaveRun when the target sends half an answer', async () => {
    await addSocketTarget(socket => {
      socket.on('error', () => undefined);
      socket.on('data', () => {
        socket.write('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf');
        setTimeout(() => socket.destroy(), 20);
      });
    });
    const res = await send(newId());
    expect(res.headers['papayarun-verdict']).toBe('mayHaveRun');
    expect(JSON.parse(res.text)).toMatchObject({code: 'truncatedAnswer'});
  });

  it('does not start a request of which the caller sent only half', async () => {
    const target = await addTarget();
    const before = target.totalStarts;
    const socket = connect(cluster.callersPort('centro-1'), '127.0.0.1');
    socket.on('error', () => undefined);
    socket.write(
      `POST /v1/services/${SERVICE}/run HTTP/1.1\r\nhost: x\r\npapayarun-id: ${newId()}\r\ncontent-length: 100\r\n\r\nhalf`,
    );
    await new Promise(resolve => setTimeout(resolve, 100));
    socket.destroy();
    await new Promise(resolve => setTimeout(resolve, 200));
    expect(target.totalStarts).toBe(before);
  });
});
