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
const JOBS = 'forecast';
const CENTRO = ['centro-1', 'centro-2', 'centro-3'];

describe('at most one start', () => {
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
      service: JOBS,
      slots: 64,
      announcePorts,
      announceMs: 200,
      worker: {rack: 'r1', cores: 64, memoryMb: 65_536, accelerators: 0},
    });
    await waitUntil('the target is used', 8_000, async () => {
      const results = await Promise.all(CENTRO.map(id => send(id)));
      return results.every(res => res.status === 200);
    });
    await waitUntil('the worker is used', 8_000, async () => {
      const results = await Promise.all(
        [...CENTRO, 'serra-1'].map(async id =>
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
      body: JSON.stringify({id, service: JOBS, tasks}),
    });
  }

  async function newId(instance = 'centro-1'): Promise<string> {
    return `${await cluster.idPrefix(instance)}${caller.opaque()}`;
  }

  async function started(id: string): Promise<void> {
    await waitUntil('it has started', 5_000, () => target.starts.get(id) === 1);
  }

  it('holds for resends to every instance at once, here and elsewhere', async () => {
    for (let round = 0; round < 20; round++) {
      const id = await newId();
      const instances = [...CENTRO, 'serra-1', 'ribeira-1', ...CENTRO];
      const results = await Promise.all(
        instances.map(instance => send(instance, id)),
      );
      expect(results.map(res => res.status)).toEqual(instances.map(() => 200));
      expect(new Set(results.map(res => res.text)).size).toBe(1);
      expect(target.starts.get(id)).toBe(1);
    }
  });

  it('refuses an id with other content', async () => {
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

  it('holds after the owner was killed while the work ran', async () => {
    const id = await newId();
    const first = send('centro-1', id, 1_000).catch(() => undefined);
    await started(id);
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

  it('holds when the owner is frozen past every timeout and then goes on', async () => {
    const ids = await Promise.all(Array.from({length: 8}, () => newId()));
    const first = ids.map(id =>
      send('centro-1', id, 300, 10_000).catch(() => undefined),
    );
    await started(ids[0]!);
    cluster.daemon('centro-1').signal('SIGSTOP');
    await waitUntil('it is out of the view', 10_000, async () => {
      const {view} = (await cluster.status('centro-2')) as {
        view: {members: unknown[]};
      };
      return view.members.length === 2;
    });
    await Promise.all(ids.map(id => send('centro-2', id, 300, 3_000)));
    cluster.daemon('centro-1').signal('SIGCONT');
    await Promise.all(first);
    await Promise.all(
      ids.flatMap(id => CENTRO.map(instance => send(instance, id, 300, 3_000))),
    );
    for (const id of ids) {
      expect(target.starts.get(id) ?? 0).toBeLessThanOrEqual(1);
    }
    await cluster.ready('centro-1');
    expect(cluster.daemon('centro-1').events('paused').length).toBeGreaterThan(
      0,
    );
  });

  it('holds when the owner is cut off alone, and it starts nothing new', async () => {
    const before = await newId();
    expect((await send('centro-1', before)).status).toBe(200);
    cluster.setLinks(['centro-1'], 'cut');
    const during = await newId();
    const [cutOff, majority] = await Promise.all([
      send('centro-1', during, 20, 8_000),
      send('centro-2', during, 20, 8_000),
    ]);
    expect(cutOff.headers['papayarun-verdict']).not.toBe('ran');
    expect(majority.status).toBe(200);
    expect((await send('centro-3', before)).status).toBe(200);
    cluster.setLinks(['centro-1'], 'pass');
    await cluster.ready('centro-1');
    expect((await send('centro-1', during)).status).toBe(200);
    expect(target.starts.get(during)).toBe(1);
    expect(target.starts.get(before)).toBe(1);
  });

  it('lets a data centre that is cut off as a whole go on', async () => {
    const outside = await newId();
    cluster.setLinks(CENTRO, 'cut');
    await waitUntil('it knows that it is cut off', 10_000, async () => {
      const all = await Promise.all(CENTRO.map(id => cluster.status(id)));
      return all.every(status => status['cutOff'] === true);
    });
    for (const instance of CENTRO) {
      const id = await newId(instance);
      expect((await send(instance, id)).status).toBe(200);
      expect(target.starts.get(id)).toBe(1);
      const repeatable = await send(instance);
      expect(repeatable.status).toBe(200);
      expect(repeatable.headers['papayarun-release-current']).toBe('false');
    }
    const res = await send('serra-1', outside);
    expect(res.headers['papayarun-verdict']).toBe('mayHaveRun');
    expect(JSON.parse(res.text)).toMatchObject({code: 'homeUnreachable'});
    expect(target.starts.get(outside)).toBeUndefined();
    cluster.setLinks(CENTRO, 'pass');
    await waitUntil(
      'it is current again',
      10_000,
      async () => (await cluster.status('centro-1'))['cutOff'] === false,
    );
    await waitUntil(
      'the other data centre reaches it',
      10_000,
      async () => (await send('serra-1', outside)).status === 200,
    );
    expect(target.starts.get(outside)).toBe(1);
  });

  it('starts nothing again after all instances of the data centre were killed at once', async () => {
    const done = await newId();
    const running = await newId();
    expect((await send('centro-1', done)).status).toBe(200);
    const lost = send('centro-2', running, 500).catch(() => undefined);
    await started(running);
    await Promise.all(CENTRO.map(id => cluster.kill(id)));
    await lost;
    await Promise.all(CENTRO.map(id => cluster.start(id)));
    await Promise.all(CENTRO.map(id => cluster.ready(id)));
    await waitUntil(
      'new work is taken',
      10_000,
      async () => (await send('centro-1', await newId())).status === 200,
    );
    for (const id of [done, running]) {
      for (const instance of [...CENTRO, 'serra-1']) {
        const res = await send(instance, id);
        expect(res.headers['papayarun-verdict']).toBe('mayHaveRun');
      }
      expect(target.starts.get(id)).toBe(1);
    }
  });

  it('holds for every task of a job, whose answer is complete or failed', async () => {
    const id = await newId();
    const submit = (instance: string): Promise<HttpResult> =>
      submitJob(instance, id, 30, 50);
    const results = await Promise.all([...CENTRO, 'serra-1'].map(submit));
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

  it('fails a whole job when its owner is killed, and starts no task again', async () => {
    const id = await newId();
    const submit = (instance: string): Promise<HttpResult> =>
      submitJob(instance, id, 20, 800);
    const first = submit('centro-1').catch(() => undefined);
    await waitUntil('tasks run', 5_000, () => worker.running > 0);
    await cluster.kill('centro-1');
    await first;
    const again = await submit('centro-2');
    expect(again.headers['papayarun-verdict']).toBe('mayHaveRun');
    expect(JSON.parse(again.text)).toMatchObject({state: 'failed'});
    await new Promise(resolve => setTimeout(resolve, 2_000));
    expect([...worker.starts.values()].every(n => n === 1)).toBe(true);
  });
});
