import {
  Caller,
  Cluster,
  FakeTarget,
  TEST_TIMING,
  waitUntil,
} from '@papayarun/stand_ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

const SERVICE = 'booking';
/** Time in milliseconds after which a leaving target gets no new work. */
const MAX_LEAVING_MS = 3_000;
const INSTANCE_IDS = ['centro-1', 'centro-2', 'centro-3', 'serra-1', 'serra-2'];

/**
 * Callers behind a load balancer that polls the readiness of the instances, as
 * the load balancer of the platform does.
 */
class LoadGenerator {
  sent = 0;
  readonly failures: string[] = [];
  private stopped = false;
  private readyInstances: string[] = [];
  private readonly loops: Array<Promise<void>> = [];
  private readonly caller = Caller.create(SERVICE);

  constructor(
    private readonly cluster: Cluster,
    private readonly isIdempotent: boolean,
  ) {}

  async start(callers: number): Promise<void> {
    this.loops.push(this.pollReadiness());
    await waitUntil(
      'instances are ready',
      5_000,
      () => this.readyInstances.length > 0,
    );
    for (let n = 0; n < callers; n++) {
      this.loops.push(this.sendRequests(n));
    }
  }

  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.loops);
    this.caller.close();
  }

  private async pollReadiness(): Promise<void> {
    while (!this.stopped) {
      const ready: string[] = [];
      for (const id of this.cluster.daemons.keys()) {
        const state = await this.cluster.fetchStatus(id).then(
          status => status['state'],
          () => undefined,
        );
        if (state === 'ready') {
          ready.push(id);
        }
      }
      this.readyInstances = ready;
      await new Promise(resolve => setTimeout(resolve, 50));
    }
  }

  private async sendRequests(n: number): Promise<void> {
    for (let i = 0; !this.stopped; i++) {
      const instance =
        this.readyInstances[(n + i) % this.readyInstances.length]!;
      try {
        const id = this.isIdempotent
          ? `${await this.cluster.fetchIdPrefix(instance)}${this.caller.createOpaqueKeyPart()}`
          : undefined;
        this.sent++;
        const res = await this.caller.send({
          port: this.cluster.callersPort(instance),
          runMs: 30 + (i % 50),
          id,
          tag: i,
        });
        if (res.status !== 200) {
          this.failures.push(`${instance}: ${res.status} ${res.text}`);
        }
      } catch (err) {
        this.failures.push(`${instance}: ${(err as Error).message}`);
      }
    }
  }
}

describe('leaving and shutdown', () => {
  let cluster: Cluster;
  let targets: FakeTarget[];

  beforeEach(async () => {
    cluster = await Cluster.create(
      INSTANCE_IDS.map(id => ({
        id,
        dataCentre: id.split('-')[0]!,
        replica: ['centro-1', 'centro-2', 'serra-1'].includes(id),
      })),
      {timing: TEST_TIMING},
    );
    await cluster.startAll();
    targets = await Promise.all(
      ['centro', 'serra'].flatMap(dataCentre =>
        [1, 2, 3].map(n =>
          FakeTarget.create({
            targetId: `${dataCentre}-runner-${n}`,
            service: SERVICE,
            slots: 8,
            announcePorts: () => cluster.callersPorts(dataCentre),
            announceMs: 500,
          }),
        ),
      ),
    );
    await waitUntil('each target is kept by one instance', 8_000, async () => {
      const all = await Promise.all(
        INSTANCE_IDS.map(id =>
          cluster.callOperatorApi(id, 'GET', '/v1/targets'),
        ),
      );
      const keptCounts = all.map(
        res => res.text.split('"keptHere":true').length - 1,
      );
      return keptCounts.reduce((sum, n) => sum + n, 0) === targets.length;
    });
    await new Promise(resolve =>
      setTimeout(resolve, 2 * TEST_TIMING.heartbeatMs),
    );
  });

  afterEach(async () => {
    await Promise.all(targets.map(target => target.close()));
    await cluster.close();
  });

  it('gives a leaving target no new work after 3 s, although stale announcements arrive late and out of order', async () => {
    const load = new LoadGenerator(cluster, false);
    await load.start(24);
    const target = targets[0]!;
    const staleAnnouncement = target.nextAnnouncement();
    target.state = 'leaving';
    await new Promise(resolve => setTimeout(resolve, 300));
    const body = JSON.stringify(staleAnnouncement);
    const resendTimer = setInterval(() => {
      for (const port of cluster.callersPorts('centro')) {
        void fetch(`http://127.0.0.1:${port}/v1/targets`, {
          method: 'POST',
          body,
        }).catch(() => undefined);
      }
    }, 50);
    await new Promise(resolve => setTimeout(resolve, MAX_LEAVING_MS));
    const before = target.totalStarts;
    await new Promise(resolve => setTimeout(resolve, MAX_LEAVING_MS));
    clearInterval(resendTimer);
    await load.stop();
    expect(target.totalStarts).toBe(before);
    expect(load.failures.slice(0, 4)).toEqual([]);
  });

  it('gives a silent target no new work after its announcement has expired', async () => {
    const target = targets[0]!;
    target.sendsAnnouncements = false;
    await new Promise(resolve => setTimeout(resolve, 4_000));
    const load = new LoadGenerator(cluster, false);
    const before = target.totalStarts;
    await load.start(24);
    await new Promise(resolve => setTimeout(resolve, 1_000));
    await load.stop();
    expect(target.totalStarts).toBe(before);
  });

  it.each([false, true])(
    'fails no request when instances shut down on SIGTERM (with ids: %s)',
    async isIdempotent => {
      const load = new LoadGenerator(cluster, isIdempotent);
      await load.start(24);
      await new Promise(resolve => setTimeout(resolve, 500));
      for (const id of ['centro-2', 'serra-1']) {
        expect(await cluster.terminate(id)).toBe(0);
      }
      await new Promise(resolve => setTimeout(resolve, 500));
      await load.stop();
      expect(load.sent).toBeGreaterThan(100);
      expect(load.failures.slice(0, 4)).toEqual([]);
    },
  );

  it('loses no request in a rolling restart of all instances', async () => {
    const load = new LoadGenerator(cluster, true);
    await load.start(16);
    for (const id of INSTANCE_IDS) {
      expect(await cluster.terminate(id)).toBe(0);
      await cluster.start(id);
      await cluster.waitUntilReady(id);
    }
    await load.stop();
    expect(load.sent).toBeGreaterThan(200);
    expect(load.failures.slice(0, 4)).toEqual([]);
  });
});
