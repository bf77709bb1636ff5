import type {DaemonProcess} from '@papayarun/stand_ins';
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

/** Refusals of ids whose claim a process that stood still would have to confirm. */
const CLAIM_REFUSAL = /claimUnavailable|ownerLost|generationClosed/;

/** Request that an instance refused. */
interface RefusedRequest {
  readonly id: string | undefined;
  readonly verdict: unknown;
  readonly refusal: string;
}

/**
 * Callers behind a load balancer that polls the readiness of the instances, as
 * the load balancer of the platform does.
 *
 * @description An instance that ends has to accept connections for
 * `drainDelayMs`. A balancer without processor time may be later than that; it
 * then takes the instance that refuses its connection out and connects to another
 * one. Each other failure of a connection counts as a failure.
 */
class LoadGenerator {
  sent = 0;
  readonly failures: string[] = [];
  readonly refused: RefusedRequest[] = [];
  /** Ids of the requests that were answered. */
  readonly answeredIds: string[] = [];
  private stopped = false;
  private readyInstances: string[] = [];
  private readonly loops: Array<Promise<void>> = [];
  private readonly caller = Caller.create(SERVICE);
  private readonly terminatedAtMs = new Map<string, number>();
  private readonly daemons = new Set<DaemonProcess>();

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

  /** Terminates an instance by SIGTERM and returns its exit code. */
  terminate(id: string): Promise<number | null | undefined> {
    this.daemons.add(this.cluster.daemon(id));
    this.terminatedAtMs.set(id, performance.now());
    return this.cluster.terminate(id);
  }

  /** Starts an instance that was terminated. */
  async restart(id: string): Promise<void> {
    await this.cluster.start(id);
    this.terminatedAtMs.delete(id);
  }

  /**
   * Whether a process stood still for so long that the others may have taken it
   * for dead, so that more than the shutdowns disturbed the cluster.
   */
  sawSilence(): boolean {
    return [...this.daemons, ...this.cluster.daemons.values()].some(
      daemon =>
        daemon.events('paused').length > 0 ||
        daemon
          .events('linkDown')
          .some(
            line => (line['silentMs'] as number) >= TEST_TIMING.peerTimeoutMs,
          ),
    );
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
      await this.sendRequest(n, i);
    }
  }

  private async sendRequest(n: number, i: number): Promise<void> {
    const instance = this.readyInstances[(n + i) % this.readyInstances.length]!;
    let isLate = this.isLateFor(instance);
    try {
      const id = this.isIdempotent
        ? `${await this.cluster.fetchIdPrefix(instance)}${this.caller.createOpaqueKeyPart()}`
        : undefined;
      this.sent++;
      isLate = this.isLateFor(instance);
      const port = this.cluster.callersPort(instance);
      const res = await this.caller.send({
        port,
        runMs: 30 + (i % 50),
        id,
        tag: i,
      });
      if (res.status !== 200) {
        const verdict = res.headers['papayarun-verdict'];
        const refusal = `${instance}: ${res.status} ${res.text}`;
        this.refused.push({id, verdict, refusal});
      } else if (id !== undefined) {
        this.answeredIds.push(id);
      }
    } catch (err) {
      if (isLate && isNotConnected(err)) {
        this.readyInstances = this.readyInstances.filter(id => id !== instance);
        await this.sendRequest(n, i);
        return;
      }
      this.failures.push(`${instance}: ${(err as Error).message}`);
    }
  }

  /** Whether the balancer should have taken an instance out by now. */
  private isLateFor(instance: string): boolean {
    const terminatedAtMs = this.terminatedAtMs.get(instance);
    return (
      terminatedAtMs !== undefined &&
      performance.now() - terminatedAtMs >= TEST_TIMING.drainDelayMs
    );
  }
}

/** Whether a request failed before there was a connection to send it on. */
function isNotConnected(err: unknown): boolean {
  return (
    (err as NodeJS.ErrnoException).code === 'ECONNREFUSED' ||
    /^instance \S+ is not running$/.test((err as Error).message)
  );
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

  /**
   * Expects that no request was cut off, that none was refused but for a claim that
   * can't be recorded while a process stands still, and that each id ran as often
   * as its answer or verdict says.
   */
  function expectNothingLost(load: LoadGenerator): void {
    expect(load.failures.slice(0, 4)).toEqual([]);
    const excused = load.sawSilence() ? CLAIM_REFUSAL : /^$/;
    expect(
      load.refused.filter(({refusal}) => !excused.test(refusal)).slice(0, 4),
    ).toEqual([]);
    const startsOf = (id: string): number =>
      targets.reduce((sum, target) => sum + (target.starts.get(id) ?? 0), 0);
    expect(load.answeredIds.filter(id => startsOf(id) !== 1)).toEqual([]);
    const untrue = load.refused.filter(({id, verdict}) => {
      const starts = id === undefined ? 0 : startsOf(id);
      return verdict === 'notRun'
        ? starts !== 0
        : verdict !== 'mayHaveRun' || starts > 1;
    });
    expect(untrue).toEqual([]);
  }

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
    expectNothingLost(load);
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
        expect(await load.terminate(id)).toBe(0);
      }
      await new Promise(resolve => setTimeout(resolve, 500));
      await load.stop();
      expect(load.sent).toBeGreaterThan(100);
      expectNothingLost(load);
    },
  );

  it('loses no request in a rolling restart of all instances', async () => {
    const load = new LoadGenerator(cluster, true);
    await load.start(16);
    for (const id of INSTANCE_IDS) {
      expect(await load.terminate(id)).toBe(0);
      await load.restart(id);
      await cluster.waitUntilReady(id);
    }
    await load.stop();
    expect(load.sent).toBeGreaterThan(200);
    expectNothingLost(load);
  });
});
