import {randomUUID} from 'node:crypto';
import {Agent} from 'node:http';
import {Cluster} from '../cluster/cluster.js';
import {FakeTarget} from '../fake_target/fake_target.js';
import {httpCall} from '../http_call/http_call.js';
import {waitUntil} from '../wait_until/wait_until.js';
import {fitSlope} from './fit_slope.js';
import type {Slope} from './slope.js';
import type {Usage} from './usage.js';
import {readUsage} from './usage.js';

const SERVICE = 'outage-report';
const JOB_SERVICE = 'forecast';
const REQUEST_RATES = [50, 100, 200, 400];
const ANNOUNCEMENT_RATES = [100, 200, 400, 800];
const CLAIM_COUNTS = [4_000, 8_000, 16_000, 32_000];
const QUEUE_LENGTHS = [200, 400, 600, 800];
const MEASURE_SECONDS = 6;
const RUN_MS = 20;
const WARM_UP_ROUNDS = 50;
const INSTANCE_IDS = ['centro-1', 'centro-2', 'centro-3'];

/** Cost per unit of work, summed over the instances of a data centre. */
export interface WorkSlopes {
  /** Processor seconds per repeatable request, with decisions logged. */
  readonly cpuPerRequest: Slope;
  /** Processor seconds per repeatable request, without a log of decisions. */
  readonly cpuPerRequestUnlogged: Slope;
  /** Processor seconds per request with an id. */
  readonly cpuPerKeyedRequest: Slope;
  readonly messagesPerKeyedRequest: Slope;
  readonly bytesPerKeyedRequest: Slope;
  readonly cpuPerTask: Slope;
  readonly messagesPerTask: Slope;
  readonly cpuPerAnnouncement: Slope;
  readonly bytesPerAnnouncement: Slope;
  /** Bytes of heap per remembered claim, on one member. */
  readonly heapPerClaim: Slope;
  /** Bytes of resident memory per queued request, including its connection. */
  readonly rssPerQueued: Slope;
  /** Processor seconds per configuration change. */
  readonly cpuPerChange: Slope;
  readonly bytesPerChange: Slope;
}

/** Three instances of one data centre with six targets and one worker. */
class TestBed {
  readonly agent = new Agent({keepAlive: true, maxSockets: 10_000});
  release = 0;

  private constructor(
    readonly cluster: Cluster,
    readonly targets: readonly FakeTarget[],
  ) {}

  static async create(decisions: boolean): Promise<TestBed> {
    const members = INSTANCE_IDS.map((id, n) => ({
      id,
      dataCentre: 'centro',
      replica: n === 0,
    }));
    const cluster = await Cluster.create(members, {
      log: {decisions},
      limits: {queuedRequests: 100_000, callerConnections: 20_000},
    });
    await cluster.startAll();
    const announceOptions = {announcePorts: () => cluster.callersPorts()};
    const worker = {
      rack: 'r1',
      cores: 256,
      memoryMb: 1_000_000,
      accelerators: 0,
    };
    const targets = [
      ...(await Promise.all(
        [1, 2, 3, 4, 5, 6].map(n =>
          FakeTarget.create({
            ...announceOptions,
            targetId: `runner-${n}`,
            service: SERVICE,
            slots: 16,
          }),
        ),
      )),
      await FakeTarget.create({
        ...announceOptions,
        targetId: 'worker-1',
        service: JOB_SERVICE,
        slots: 256,
        worker,
      }),
    ];
    const testBed = new TestBed(cluster, targets);
    await waitUntil(
      'a request is answered',
      15_000,
      async () => (await testBed.sendRequest(0, undefined, RUN_MS)) === 200,
    );
    await testBed.warmUp();
    await sleep(1_500);
    return testBed;
  }

  /** Sends requests so that the JIT compiles the instances' code beforehand. */
  private async warmUp(): Promise<void> {
    const prefix = await this.cluster.fetchIdPrefix(INSTANCE_IDS[0]!);
    for (let n = 0; n < WARM_UP_ROUNDS; n++) {
      const repeatableRequests = Array.from({length: 48}, (_, i) =>
        this.sendRequest(i, undefined, 0),
      );
      const requestsWithId = Array.from({length: 48}, (_, i) =>
        this.sendRequestWithId(i, prefix),
      );
      await Promise.all([...repeatableRequests, ...requestsWithId]);
    }
  }

  async sendRequest(
    n: number,
    id: string | undefined,
    runMs: number,
  ): Promise<number> {
    const idHeaders: Record<string, string> = id
      ? {'papayarun-id': id}
      : {'papayarun-repeatable': 'true'};
    const res = await httpCall({
      port: this.cluster.callersPort(INSTANCE_IDS[n % INSTANCE_IDS.length]!),
      method: 'POST',
      path: `/v1/services/${SERVICE}/run`,
      headers: {...idHeaders, 'papayarun-deadline-ms': '600000'},
      body: JSON.stringify({runMs}),
      agent: this.agent,
    });
    return res.status;
  }

  async sendRequestWithId(n: number, prefix: string): Promise<number> {
    return this.sendRequest(n, `${prefix}${randomUUID()}`, 0);
  }

  async submitJob(tasks: number, prefix: string): Promise<void> {
    const task = {
      needs: {cores: 0.01, memoryMb: 1},
      runMs: RUN_MS,
      input: {runMs: RUN_MS},
    };
    await httpCall({
      port: this.cluster.callersPort(INSTANCE_IDS[0]!),
      method: 'POST',
      path: '/v1/jobs?wait-ms=30000',
      body: JSON.stringify({
        id: `${prefix}${randomUUID()}`,
        service: JOB_SERVICE,
        tasks: Array(tasks).fill(task),
      }),
      agent: this.agent,
    });
  }

  async applyReleaseNote(): Promise<void> {
    const note = {
      noteId: randomUUID(),
      base: this.release,
      added: {[`behaviour:b${this.release}`]: 1},
    };
    const res = await this.cluster.callOperatorApi(
      INSTANCE_IDS[0]!,
      'POST',
      '/v1/releases',
      note,
    );
    this.release = (JSON.parse(res.text) as {release: number}).release;
  }

  /**
   * Sends events at a constant rate for `MEASURE_SECONDS` and returns what all
   * instances used in the meantime.
   */
  async measureUsage(
    perSecond: number,
    sendEvent: (n: number) => Promise<unknown>,
  ): Promise<Usage> {
    const before = await readUsage(this.cluster, INSTANCE_IDS);
    const pending: Array<Promise<unknown>> = [];
    const startMs = performance.now();
    for (let n = 0; n < perSecond * MEASURE_SECONDS; n++) {
      const waitMs = startMs + (n * 1_000) / perSecond - performance.now();
      if (waitMs > 1) {
        await sleep(waitMs);
      }
      pending.push(sendEvent(n));
    }
    await Promise.all(pending);
    const remainingMs = startMs + MEASURE_SECONDS * 1_000 - performance.now();
    await sleep(Math.max(0, remainingMs));
    const after = await readUsage(this.cluster, INSTANCE_IDS);
    return subtractUsage(after, before);
  }

  async close(): Promise<void> {
    this.agent.destroy();
    await Promise.all(this.targets.map(target => target.close()));
    await this.cluster.close();
  }
}

/**
 * Measures the cost of requests, tasks, announcements, claims and configuration
 * changes.
 *
 * @returns Slopes over rates and counts.
 * @throws Error when the instances can't be started.
 * @example
 * const slopes = await workSlopes();
 */
export async function workSlopes(): Promise<WorkSlopes> {
  const unlogged = await withTestBed(false, testBed =>
    measureSeries(REQUEST_RATES, rate =>
      testBed.measureUsage(rate, n =>
        testBed.sendRequest(n, undefined, RUN_MS),
      ),
    ),
  );
  const logged = await withTestBed(true, testBed =>
    measureSeries(REQUEST_RATES, rate =>
      testBed.measureUsage(rate, n =>
        testBed.sendRequest(n, undefined, RUN_MS),
      ),
    ),
  );
  const keyed = await withTestBed(true, async testBed => {
    const prefix = await testBed.cluster.fetchIdPrefix(INSTANCE_IDS[0]!);
    return measureSeries(REQUEST_RATES, rate =>
      testBed.measureUsage(rate, n => testBed.sendRequestWithId(n, prefix)),
    );
  });
  const tasks = await withTestBed(true, async testBed => {
    const prefix = await testBed.cluster.fetchIdPrefix(INSTANCE_IDS[0]!);
    const jobs = [1, 2, 4, 8];
    const rows = await measureSeries(jobs, rate =>
      testBed.measureUsage(rate, () => testBed.submitJob(40, prefix)),
    );
    return rows.map(row => ({...row, x: row.x * 40}));
  });
  const announcements = await withTestBed(false, testBed =>
    measureSeries(ANNOUNCEMENT_RATES, rate =>
      testBed.measureUsage(rate, n => sendAnnouncement(testBed, n, rate)),
    ),
  );
  const changes = await withTestBed(false, testBed =>
    measureSeries([2, 4, 8, 16], rate =>
      testBed.measureUsage(rate, () => testBed.applyReleaseNote()),
    ),
  );
  return {
    cpuPerRequest: slopePerEvent(logged, 'cpuSeconds'),
    cpuPerRequestUnlogged: slopePerEvent(unlogged, 'cpuSeconds'),
    cpuPerKeyedRequest: slopePerEvent(keyed, 'cpuSeconds'),
    messagesPerKeyedRequest: slopePerEvent(keyed, 'peerMessages'),
    bytesPerKeyedRequest: slopePerEvent(keyed, 'peerBytes'),
    cpuPerTask: slopePerEvent(tasks, 'cpuSeconds'),
    messagesPerTask: slopePerEvent(tasks, 'peerMessages'),
    cpuPerAnnouncement: slopePerEvent(announcements, 'cpuSeconds'),
    bytesPerAnnouncement: slopePerEvent(announcements, 'peerBytes'),
    heapPerClaim: await measureHeapPerClaim(),
    rssPerQueued: await measureRssPerQueued(),
    cpuPerChange: slopePerEvent(changes, 'cpuSeconds'),
    bytesPerChange: slopePerEvent(changes, 'peerBytes'),
  };
}

interface UsageRow extends Usage {
  readonly x: number;
}

async function withTestBed<T>(
  decisions: boolean,
  run: (testBed: TestBed) => Promise<T>,
): Promise<T> {
  const testBed = await TestBed.create(decisions);
  try {
    return await run(testBed);
  } finally {
    await testBed.close();
  }
}

async function measureSeries(
  rates: readonly number[],
  measure: (rate: number) => Promise<Usage>,
): Promise<UsageRow[]> {
  const rows: UsageRow[] = [];
  for (const rate of rates) {
    rows.push({x: rate, ...(await measure(rate))});
    process.stdout.write(`  ${JSON.stringify(rows.at(-1))}\n`);
  }
  return rows;
}

/** Cost of one event: slope of the usage per second over the event rate. */
function slopePerEvent(rows: readonly UsageRow[], key: keyof Usage): Slope {
  return fitSlope(rows.map(row => ({x: row.x, y: row[key] / MEASURE_SECONDS})));
}

/** Sends one announcement of one of `targets` targets; at that rate each announces once a second. */
function sendAnnouncement(
  testBed: TestBed,
  n: number,
  targets: number,
): Promise<unknown> {
  const body = JSON.stringify({
    targetId: `many-${n % targets}`,
    boot: 'b1',
    seq: n,
    state: 'ready',
    service: 'many',
    url: 'http://127.0.0.1:9',
    slots: 8,
    connections: 60,
  });
  const port = testBed.cluster.callersPort(
    INSTANCE_IDS[n % INSTANCE_IDS.length]!,
  );
  return httpCall({
    port,
    method: 'POST',
    path: '/v1/targets',
    body,
    agent: testBed.agent,
  });
}

/**
 * Measures the heap used by claims on one of three members.
 *
 * @description Each point is the lowest reading of several, so that garbage not
 * yet collected is left out.
 */
async function measureHeapPerClaim(): Promise<Slope> {
  return withTestBed(false, async testBed => {
    const prefix = await testBed.cluster.fetchIdPrefix(INSTANCE_IDS[0]!);
    const points: Array<{x: number; y: number}> = [];
    let claimCount = 0;
    for (const count of CLAIM_COUNTS) {
      while (claimCount < count) {
        await Promise.all(
          Array.from({length: 64}, (_, n) =>
            testBed.sendRequestWithId(n, prefix),
          ),
        );
        claimCount += 64;
      }
      points.push({x: claimCount, y: await readLowestHeapBytes(testBed)});
    }
    return fitSlope(points);
  });
}

/**
 * Returns the lowest heap usage of the first instance over 2.4 s, which is close
 * to the usage just after a garbage collection.
 */
async function readLowestHeapBytes(testBed: TestBed): Promise<number> {
  let lowest = Infinity;
  for (let n = 0; n < 8; n++) {
    await sleep(300);
    const {heapBytes} = await readUsage(testBed.cluster, [INSTANCE_IDS[0]!]);
    lowest = Math.min(lowest, heapBytes);
  }
  return lowest;
}

/** Measures the resident memory of queued requests, summed over all instances. */
async function measureRssPerQueued(): Promise<Slope> {
  const points: Array<{x: number; y: number}> = [];
  for (const count of QUEUE_LENGTHS) {
    const y = await withTestBed(false, async testBed => {
      const before = await readUsage(testBed.cluster, INSTANCE_IDS);
      const requests = Array.from({length: count}, (_, n) =>
        testBed.sendRequest(n, undefined, 600_000).catch(() => 0),
      );
      await waitUntil(
        'all requests beyond the slots are queued',
        30_000,
        async () => (await countQueuedRequests(testBed)) >= count - 6 * 16,
      );
      const after = await readUsage(testBed.cluster, INSTANCE_IDS);
      testBed.agent.destroy();
      await Promise.all(requests);
      return after.rssBytes - before.rssBytes;
    });
    points.push({x: count, y});
  }
  return fitSlope(points);
}

async function countQueuedRequests(testBed: TestBed): Promise<number> {
  const responses = await Promise.all(
    INSTANCE_IDS.map(id =>
      testBed.cluster.callOperatorApi(id, 'GET', '/v1/queues'),
    ),
  );
  return responses.reduce((sum, res) => {
    const {queues} = JSON.parse(res.text) as {queues: Array<{queued: number}>};
    return sum + queues.reduce((s, q) => s + q.queued, 0);
  }, 0);
}

function subtractUsage(after: Usage, before: Usage): Usage {
  return Object.fromEntries(
    Object.entries(after).map(([key, value]) => [
      key,
      (value as number) - before[key as keyof Usage],
    ]),
  ) as unknown as Usage;
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
