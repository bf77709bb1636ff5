import {readFile, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {
  Cluster,
  ReleaseWatch,
  TEST_TIMING,
  waitUntil,
} from '@papayarun/stand_ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

const IN_FORCE_MS = 5_000;
const REPLICAS = ['centro-1', 'ribeira-1', 'serra-1'];

interface Verdict {
  readonly status: number;
  readonly release?: number;
  readonly currentRelease?: number;
}

describe('accepted configuration', () => {
  let cluster: Cluster;
  let watch: ReleaseWatch;
  let made = 0;

  beforeEach(async () => {
    cluster = await Cluster.create(
      ['centro', 'serra', 'ribeira'].flatMap(dataCentre => [
        {id: `${dataCentre}-1`, dataCentre, replica: true},
        {id: `${dataCentre}-2`, dataCentre, replica: false},
      ]),
      {timing: TEST_TIMING},
    );
    await cluster.startAll();
    watch = ReleaseWatch.create(cluster);
  });

  afterEach(async () => {
    await watch.stop();
    await cluster.close();
    expect(watch.regressions).toEqual([]);
    expect(watch.differences).toEqual([]);
  });

  function noteOf(
    base: number,
    noteId = `note-${++made}`,
  ): {noteId: string; base: number; added: Record<string, number>} {
    return {noteId, base, added: {[`behaviour:${noteId}`]: base}};
  }

  async function apply(instance: string, note: unknown): Promise<Verdict> {
    const res = await cluster.operate(instance, 'POST', '/v1/releases', note);
    return {status: res.status, ...(JSON.parse(res.text) as object)};
  }

  /** Applies notes until one is accepted, as an operator would. */
  async function accept(instance: string, note: unknown): Promise<number> {
    let release = 0;
    await waitUntil('the note is accepted', 15_000, async () => {
      const verdict = await apply(instance, note);
      release = verdict.release ?? 0;
      return verdict.status === 200;
    });
    return release;
  }

  async function inForce(
    release: number,
    ids = [...cluster.daemons.keys()],
  ): Promise<number> {
    const startedMs = performance.now();
    await waitUntil(`release ${release} is in force`, IN_FORCE_MS, async () => {
      const all = await Promise.all(ids.map(id => cluster.status(id)));
      return all.every(status => status['release'] === release);
    });
    return performance.now() - startedMs;
  }

  async function leader(): Promise<string> {
    let found: string | undefined;
    await waitUntil('there is a leader', 10_000, async () => {
      for (const id of REPLICAS.filter(replica =>
        cluster.daemons.has(replica),
      )) {
        const {replica} = (await cluster.status(id)) as {
          replica: {role: string};
        };
        found = replica.role === 'leader' ? id : found;
      }
      return found !== undefined;
    });
    return found!;
  }

  it('lets one of racing operators win and tells the others the current number', async () => {
    for (let base = 0; base < 10; base++) {
      const instances = [...cluster.daemons.keys()];
      const verdicts = await Promise.all(
        instances.map(id => apply(id, noteOf(base))),
      );
      const accepted = verdicts.filter(verdict => verdict.status === 200);
      expect(accepted.length).toBe(1);
      for (const verdict of verdicts.filter(v => v.status !== 200)) {
        expect(verdict).toMatchObject({
          status: 409,
          code: 'conflict',
          currentRelease: base + 1,
        });
      }
      await inForce(base + 1);
    }
  });

  it('answers a resend with the first verdict, also after a change of leader and restarts', async () => {
    const note = noteOf(0);
    const lost = noteOf(7);
    expect(await accept('centro-2', note)).toBe(1);
    expect((await apply('centro-2', lost)).status).toBe(409);
    expect(await accept('serra-2', noteOf(1))).toBe(2);
    const first = await leader();
    await cluster.kill(first);
    expect(await accept('ribeira-2', note)).toBe(1);
    await cluster.start(first);
    await cluster.ready(first);
    for (const id of REPLICAS) {
      await cluster.kill(id);
      await cluster.start(id);
      await cluster.ready(id);
    }
    expect(await accept('serra-1', note)).toBe(1);
    expect(await apply('serra-1', lost)).toMatchObject({status: 409});
    expect(await apply('serra-1', {...note, base: 2})).toMatchObject({
      status: 409,
    });
    await inForce(2);
  });

  it('keeps 500 notes through restarts of each replica in turn and of all at once', async () => {
    for (let base = 0; base < 500; base++) {
      expect(await accept('centro-2', noteOf(base))).toBe(base + 1);
      if (base % 150 === 100) {
        const id = REPLICAS[Math.floor(base / 150) % REPLICAS.length]!;
        await cluster.kill(id);
        await cluster.start(id);
      }
    }
    await inForce(500);
    const ids = [...cluster.daemons.keys()];
    await Promise.all(ids.map(id => cluster.kill(id)));
    await Promise.all(ids.map(id => cluster.start(id)));
    await cluster.allReady();
    await inForce(500);
    expect(await accept('centro-1', noteOf(500))).toBe(501);
  });

  it('keeps all notes when a disk is lost, and a second one right after the repair', async () => {
    expect(await accept('centro-2', noteOf(0))).toBe(1);
    for (const [n, id] of ['serra-1', 'ribeira-1', 'centro-1'].entries()) {
      await cluster.kill(id);
      await cluster.loseDisk(id);
      await cluster.start(id);
      await cluster.ready(id);
      await waitUntil(`${id} votes again`, 20_000, async () => {
        const other = REPLICAS.find(replica => replica !== id)!;
        const status = (await cluster.status(id)) as {
          replica: {voter: boolean; commitIndex: number};
        };
        const {replica} = (await cluster.status(other)) as {
          replica: {replicas: {voters: unknown[]}; commitIndex: number};
        };
        return status.replica.voter && replica.replicas.voters.length === 3;
      });
      expect(await accept('centro-2', noteOf(n + 1))).toBe(n + 2);
    }
    await inForce(4);
  });

  it('brings a silently cut-off replica and its neighbour up within 5 s, never to a lower release', async () => {
    const cutOff = ['ribeira-1', 'ribeira-2'];
    expect(await accept('centro-2', noteOf(0))).toBe(1);
    await inForce(1);
    cluster.setLinks(cutOff, 'cut');
    for (let base = 1; base < 40; base++) {
      expect(await accept('centro-2', noteOf(base))).toBe(base + 1);
    }
    const alone = await apply('ribeira-2', noteOf(1));
    expect(alone.status).toBe(503);
    expect((await cluster.status('ribeira-2'))['release']).toBe(1);
    expect((await cluster.status('ribeira-2'))['cutOff']).toBe(true);
    cluster.setLinks(cutOff, 'pass');
    expect(await inForce(40)).toBeLessThan(IN_FORCE_MS);
  });

  it('does not serve a withdrawn behaviour at an instance that restarts after many changes', async () => {
    expect(
      await accept('centro-2', {
        noteId: 'a',
        base: 0,
        added: {'behaviour:reminders': 'letter'},
      }),
    ).toBe(1);
    await inForce(1);
    await cluster.kill('serra-2');
    await cluster.kill('serra-1');
    for (let base = 1; base < 120; base++) {
      expect(await accept('centro-2', noteOf(base))).toBe(base + 1);
    }
    expect(
      await accept('centro-2', {
        noteId: 'b',
        base: 120,
        withdrawn: ['behaviour:reminders'],
      }),
    ).toBe(121);
    await Promise.all(['serra-1', 'serra-2'].map(id => cluster.start(id)));
    await cluster.allReady();
    for (const id of ['serra-1', 'serra-2']) {
      const res = await cluster.operate(id, 'GET', '/v1/releases/current');
      expect(res.text).not.toContain('reminders":{"value"');
      expect(JSON.parse(res.text)).toMatchObject({
        release: 121,
        withdrawn: {'behaviour:reminders': 121},
      });
    }
  });

  it('cuts a torn last record, and refuses to start from a damaged one before it', async () => {
    for (let base = 0; base < 5; base++) {
      expect(await accept('centro-2', noteOf(base))).toBe(base + 1);
    }
    const path = join(cluster.dataDirOf('serra-1'), 'release.journal');
    await cluster.kill('serra-1');
    const sound = await readFile(path);
    await writeFile(
      path,
      Buffer.concat([
        sound,
        Buffer.from([40, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9]),
      ]),
    );
    const daemon = await cluster.start('serra-1');
    await waitUntil(
      'it is ready',
      10_000,
      async () => (await cluster.status('serra-1'))['state'] === 'ready',
    );
    expect(daemon.events('logTailCut').length).toBe(1);
    await cluster.kill('serra-1');
    const damaged = await readFile(path);
    damaged[Math.floor(damaged.length / 3)]! ^= 0x55;
    await writeFile(path, damaged);
    await expect(cluster.start('serra-1')).rejects.toThrow(
      'journal is corrupt at byte',
    );
    await cluster.loseDisk('serra-1');
    await cluster.start('serra-1');
    await cluster.ready('serra-1');
    await inForce(5);
  });
});
