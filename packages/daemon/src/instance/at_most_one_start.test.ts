import type {HttpResult} from '@papayarun/stand_ins';
import {
  Caller,
  Cluster,
  FakeTarget,
  httpCall,
  TEST_TIMING,
  waitUntil,
} from '@papayarun/stand_ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

const SERVICE = 'gift-card';
const JOB_SERVICE = 'forecast';
const CENTRO_INSTANCES = ['centro-1', 'centro-2', 'centro-3'];

describe('at-most-once start of idempotent requests and jobs', () => {
  let cluster: Cluster;
  let target: FakeTarget;
  let worker: FakeTarget;
  let caller: Caller;

  beforeEach(async () => {
    cluster = await Cluster.create(
      [
        {id: 'centro-1', dataCentre: 'centro', replica: false},
        {id: 'centro-2', dataCentre: 'centro', replica: true},
        {id: 'centro-3', dataCentre: 'centro', replica: false},
        {id: 'serra-1', dataCentre: 'serra', replica: true},
        {id: 'ribeira-1', dataCentre: 'ribeira', replica: true},
      ],
      {timing: TEST_TIMING},
    );
    await cluster.startAll();
    caller = Caller.create(SERVICE);
    const announcePorts = (): number[] => cluster.callersPorts('centro');
    target = await FakeTarget.create({
      targetId: 'runner-1',
      service: SERVICE,
      slots: 64,
      announcePorts,
      announceMs: 200,
    });
    worker = await FakeTarget.create({
      targetId: 'worker-1',
      service: JOB_SERVICE,
      slots: 64,
      announcePorts,
      announceMs: 200,
      worker: {rack: 'r1', cores: 64, memoryMb: 65_536, accelerators: 0},
    });
    await waitUntil('the target is used', 8_000, async () => {
      const results = await Promise.all(CENTRO_INSTANCES.map(id => send(id)));
      return results.every(res => res.status === 200);
    });
    await waitUntil('the worker is used', 8_000, async () => {
      const results = await Promise.all(
        [...CENTRO_INSTANCES, 'serra-1'].map(async id =>
          submitJob(id, await newId(), 1, 1),
        ),
      );
      return results.every(res => res.status === 200);
    });
    worker.starts.clear();
  });

  afterEach(async () => {
    caller.close();
    await Promise.all([target.close(), worker.close()]);
    await cluster.close();
  });

  function send(
    instance: string,
    id?: string,
    runMs = 20,
    deadlineMs = 5_000,
  ): Promise<HttpResult> {
    return caller.send({
      port: cluster.callersPort(instance),
      runMs,
      id,
      tag: id,
      headers: {'papayarun-deadline-ms': String(deadlineMs)},
    });
  }

  function submitJob(
    instance: string,
    id: string,
    count: number,
    runMs: number,
  ): Promise<HttpResult> {
    const task = {needs: {cores: 1, memoryMb: 512}, runMs};
    const tasks = Array.from({length: count}, (_, tag) => ({
      ...task,
      input: {runMs, tag},
    }));
    return httpCall({
      port: cluster.callersPort(instance),
      method: 'POST',
      path: '/v1/jobs?wait-ms=8000',
      body: JSON.stringify({id, service: JOB_SERVICE, tasks}),
    });
  }

  async function newId(instance = 'centro-1'): Promise<string> {
    return `${await cluster.fetchIdPrefix(instance)}${caller.createOpaqueKeyPart()}`;
  }

  async function waitUntilStarted(id: string): Promise<void> {
    await waitUntil(
      'the request has started',
      5_000,
      () => target.starts.get(id) === 1,
    );
  }

  it('holds for concurrent resends to instances of the same and of other data centres', async () => {
    for (let round = 0; round < 20; round++) {
      const id = await newId();
      const instances = [
        ...CENTRO_INSTANCES,
        'serra-1',
        'ribeira-1',
        ...CENTRO_INSTANCES,
      ];
      const results = await Promise.all(
        instances.map(instance => send(instance, id)),
      );
      expect(results.map(res => res.status)).toEqual(instances.map(() => 200));
      expect(new Set(results.map(res => res.text)).size).toBe(1);
      expect(target.starts.get(id)).toBe(1);
    }
  });

  it('refuses an id that is reused with other content', async () => {
    const id = await newId();
    expect((await send('centro-1', id, 20)).status).toBe(200);
    const res = await send('centro-2', id, 21);
    expect(res.status).toBe(409);
    expect(JSON.parse(res.text)).toMatchObject({
      code: 'idReused',
      verdict: 'notRun',
    });
    expect(target.starts.get(id)).toBe(1);
  });

  it('holds after the owner of the claim is killed while the work runs', async () => {
    const id = await newId();
    const first = send('centro-1', id, 1_000).catch(() => undefined);
    await waitUntilStarted(id);
    await cluster.kill('centro-1');
    for (const instance of ['centro-2', 'centro-3', 'serra-1']) {
      const res = await send(instance, id, 1_000, 8_000);
      expect(res.headers['papayarun-verdict']).toBe('mayHaveRun');
    }
    await first;
    expect(target.starts.get(id)).toBe(1);
    const other = await newId('centro-2');
    expect((await send('centro-2', other)).status).toBe(200);
  });

  it('holds when the owner of the claim is suspended for longer than every timeout and then resumes', async () => {
    const ids = await Promise.all(Array.from({length: 8}, () => newId()));
    const first = ids.map(id =>
      send('centro-1', id, 300, 10_000).catch(() => undefined),
    );
    await waitUntilStarted(ids[0]!);
    cluster.daemon('centro-1').signal('SIGSTOP');
    await waitUntil(
      'centro-1 is removed from the claim view',
      10_000,
      async () => {
        const {view} = (await cluster.fetchStatus('centro-2')) as {
          view: {members: unknown[]};
        };
        return view.members.length === 2;
      },
    );
    await Promise.all(ids.map(id => send('centro-2', id, 300, 3_000)));
    cluster.daemon('centro-1').signal('SIGCONT');
    await Promise.all(first);
    await Promise.all(
      ids.flatMap(id =>
        CENTRO_INSTANCES.map(instance => send(instance, id, 300, 3_000)),
      ),
    );
    for (const id of ids) {
      expect(target.starts.get(id) ?? 0).toBeLessThanOrEqual(1);
    }
    await cluster.waitUntilReady('centro-1');
    expect(cluster.daemon('centro-1').events('paused').length).toBeGreaterThan(
      0,
    );
  });

  it('holds when the owner of the claim is partitioned from all other instances, and it starts no new work', async () => {
    const claimedBeforeId = await newId();
    expect((await send('centro-1', claimedBeforeId)).status).toBe(200);
    cluster.setLinkModes(['centro-1'], 'cut');
    const claimedDuringId = await newId();
    const [isolatedRes, majorityRes] = await Promise.all([
      send('centro-1', claimedDuringId, 20, 8_000),
      send('centro-2', claimedDuringId, 20, 8_000),
    ]);
    expect(isolatedRes.headers['papayarun-verdict']).not.toBe('ran');
    expect(majorityRes.status).toBe(200);
    expect((await send('centro-3', claimedBeforeId)).status).toBe(200);
    cluster.setLinkModes(['centro-1'], 'pass');
    await cluster.waitUntilReady('centro-1');
    expect((await send('centro-1', claimedDuringId)).status).toBe(200);
    expect(target.starts.get(claimedDuringId)).toBe(1);
    expect(target.starts.get(claimedBeforeId)).toBe(1);
  });

  it('lets a data centre that is partitioned as a whole continue to serve', async () => {
    const centroId = await newId();
    cluster.setLinkModes(CENTRO_INSTANCES, 'cut');
    await waitUntil('all instances of centro are cut off', 10_000, async () => {
      const all = await Promise.all(
        CENTRO_INSTANCES.map(id => cluster.fetchStatus(id)),
      );
      return all.every(status => status['cutOff'] === true);
    });
    for (const instance of CENTRO_INSTANCES) {
      const id = await newId(instance);
      expect((await send(instance, id)).status).toBe(200);
      expect(target.starts.get(id)).toBe(1);
      const repeatable = await send(instance);
      expect(repeatable.status).toBe(200);
      expect(repeatable.headers['papayarun-release-current']).toBe('false');
    }
    const res = await send('serra-1', centroId);
    expect(res.headers['papayarun-verdict']).toBe('mayHaveRun');
    expect(JSON.parse(res.text)).toMatchObject({code: 'homeUnreachable'});
    expect(target.starts.get(centroId)).toBeUndefined();
    cluster.setLinkModes(CENTRO_INSTANCES, 'pass');
    await waitUntil(
      'centro-1 is current again',
      10_000,
      async () => (await cluster.fetchStatus('centro-1'))['cutOff'] === false,
    );
    await waitUntil(
      'serra-1 reaches centro',
      10_000,
      async () => (await send('serra-1', centroId)).status === 200,
    );
    expect(target.starts.get(centroId)).toBe(1);
  });

  it('starts no work a second time after all instances of the data centre are killed at once', async () => {
    const finishedId = await newId();
    const runningId = await newId();
    expect((await send('centro-1', finishedId)).status).toBe(200);
    const lostResponse = send('centro-2', runningId, 500).catch(
      () => undefined,
    );
    await waitUntilStarted(runningId);
    await Promise.all(CENTRO_INSTANCES.map(id => cluster.kill(id)));
    await lostResponse;
    await Promise.all(CENTRO_INSTANCES.map(id => cluster.start(id)));
    await Promise.all(CENTRO_INSTANCES.map(id => cluster.waitUntilReady(id)));
    await waitUntil(
      'new work is accepted',
      10_000,
      async () => (await send('centro-1', await newId())).status === 200,
    );
    for (const id of [finishedId, runningId]) {
      for (const instance of [...CENTRO_INSTANCES, 'serra-1']) {
        const res = await send(instance, id);
        expect(res.headers['papayarun-verdict']).toBe('mayHaveRun');
      }
      expect(target.starts.get(id)).toBe(1);
    }
  });

  it('holds for every task of a job that is submitted to several instances, each of which returns the complete answer', async () => {
    const id = await newId();
    const submit = (instance: string): Promise<HttpResult> =>
      submitJob(instance, id, 30, 50);
    const results = await Promise.all(
      [...CENTRO_INSTANCES, 'serra-1'].map(submit),
    );
    for (const res of results) {
      expect(res.status, res.text).toBe(200);
      const {answers} = JSON.parse(res.text) as {answers: Array<{tag: number}>};
      expect(answers.map(answer => answer.tag)).toEqual(
        Array.from({length: 30}, (_, tag) => tag),
      );
    }
    expect(worker.starts.size).toBe(30);
    expect([...worker.starts.values()].every(n => n === 1)).toBe(true);
  });

  it('fails the whole job when its owner is killed, and starts no task a second time', async () => {
    const id = await newId();
    const submit = (instance: string): Promise<HttpResult> =>
      submitJob(instance, id, 20, 800);
    const first = submit('centro-1').catch(() => undefined);
    await waitUntil('tasks are running', 5_000, () => worker.running > 0);
    await cluster.kill('centro-1');
    await first;
    const again = await submit('centro-2');
    expect(again.headers['papayarun-verdict']).toBe('mayHaveRun');
    expect(JSON.parse(again.text)).toMatchObject({state: 'failed'});
    await new Promise(resolve => setTimeout(resolve, 2_000));
    expect([...worker.starts.values()].every(n => n === 1)).toBe(true);
  });
});
