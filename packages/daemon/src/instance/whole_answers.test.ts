import {
  Caller,
  Cluster,
  FakeTarget,
  TEST_TIMING,
  waitUntil,
} from '@papayarun/stand_ins';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

const REQUESTS = 10_000;
const CONCURRENCY = 128;
const SERVICE = 'outage-report';

describe('answers through three instances', () => {
  let cluster: Cluster;
  let targets: FakeTarget[] = [];
  const caller = Caller.create(SERVICE);

  beforeAll(async () => {
    const members = ['centro', 'serra', 'ribeira'].map(dataCentre => ({
      id: `${dataCentre}-1`,
      dataCentre,
      replica: true,
    }));
    cluster = await Cluster.create(members, {
      timing: TEST_TIMING,
      log: {decisions: false},
    });
    await cluster.startAll();
    targets = await Promise.all(
      members.map(({id, dataCentre}) =>
        FakeTarget.create({
          targetId: `${dataCentre}-runner`,
          service: SERVICE,
          slots: 64,
          announcePorts: () => [cluster.callersPort(id)],
        }),
      ),
    );
    await waitUntil('every instance answers with 200', 5_000, async () => {
      const results = await Promise.all(
        cluster.callersPorts().map(port => caller.send({port, runMs: 0})),
      );
      return results.every(res => res.status === 200);
    });
  });

  afterAll(async () => {
    caller.close();
    await Promise.all(targets.map(target => target.close()));
    await cluster.close();
  });

  it('gives each of 10,000 callers its own answer, each run exactly once', async () => {
    const before = targets.reduce((sum, target) => sum + target.totalStarts, 0);
    const ports = cluster.callersPorts();
    let next = 0;
    const sendRequests = async (): Promise<number> => {
      let correctAnswers = 0;
      while (next < REQUESTS) {
        const tag = next++;
        const res = await caller.send({
          port: ports[tag % ports.length]!,
          runMs: tag % 3,
          tag,
        });
        correctAnswers +=
          res.status === 200 &&
          (JSON.parse(res.text) as {tag: number}).tag === tag
            ? 1
            : 0;
      }
      return correctAnswers;
    };
    const counts = await Promise.all(
      Array.from({length: CONCURRENCY}, sendRequests),
    );
    expect(counts.reduce((sum, n) => sum + n, 0)).toBe(REQUESTS);
    const starts =
      targets.reduce((sum, target) => sum + target.totalStarts, 0) - before;
    const busy = targets.reduce((sum, target) => sum + target.busyRefusals, 0);
    expect(starts).toBe(REQUESTS);
    expect(busy).toBe(0);
  });
});
