import {readFile, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {
  Cluster,
  ReleaseWatch,
  TEST_TIMING,
  waitUntil,
} from '@papayarun/stand_ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

/**
 * Longest time in milliseconds until an accepted release is in force on all
 * instances.
 */
const IN_FORCE_MS = 5_000;
/** Instances that hold a replica of the release log. */
const REPLICAS = ['centro-1', 'ribeira-1', 'serra-1'];

/** HTTP status and decoded body of a posted note. */
interface ApplyResult {
  readonly status: number;
  readonly release?: number;
  readonly currentRelease?: number;
}

describe('accepted configuration', () => {
  let cluster: Cluster;
  let watch: ReleaseWatch;
  let createdNotes = 0;

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
    expect(watch.stateMismatches).toEqual([]);
  });

  function createNote(
    base: number,
    noteId = `note-${++createdNotes}`,
  ): {noteId: string; base: number; added: Record<string, number>} {
    return {noteId, base, added: {[`behaviour:${noteId}`]: base}};
  }

  async function postNote(
    instance: string,
    note: unknown,
  ): Promise<ApplyResult> {
    const res = await cluster.callOperatorApi(
      instance,
      'POST',
      '/v1/releases',
      note,
    );
    return {status: res.status, ...(JSON.parse(res.text) as object)};
  }

  /** Posts a note until it is accepted, as an operator would. */
  async function postUntilAccepted(
    instance: string,
    note: unknown,
  ): Promise<number> {
    let release = 0;
    await waitUntil('the note is accepted', 15_000, async () => {
      const result = await postNote(instance, note);
      release = result.release ?? 0;
      return result.status === 200;
    });
    return release;
  }

  /** Waits until instances have a release and returns the duration in ms. */
  async function waitUntilInForce(
    release: number,
    ids = [...cluster.daemons.keys()],
  ): Promise<number> {
    const startedMs = performance.now();
    await waitUntil(`release ${release} is in force`, IN_FORCE_MS, async () => {
      const all = await Promise.all(ids.map(id => cluster.fetchStatus(id)));
      return all.every(status => status['release'] === release);
    });
    return performance.now() - startedMs;
  }

  async function waitForLeader(): Promise<string> {
    let found: string | undefined;
    await waitUntil('there is a leader', 10_000, async () => {
      for (const id of REPLICAS.filter(replica =>
        cluster.daemons.has(replica),
      )) {
        const {replica} = (await cluster.fetchStatus(id)) as {
          replica: {role: string};
        };
        found = replica.role === 'leader' ? id : found;
      }
      return found !== undefined;
    });
    return found!;
  }

  it('accepts one of several concurrent notes and answers the others with the current release number', async () => {
    for (let base = 0; base < 10; base++) {
      const instances = [...cluster.daemons.keys()];
      const results = await Promise.all(
        instances.map(id => postNote(id, createNote(base))),
      );
      const accepted = results.filter(result => result.status === 200);
      expect(accepted.length).toBe(1);
      for (const result of results.filter(res => res.status !== 200)) {
        expect(result).toMatchObject({
          status: 409,
          code: 'conflict',
          currentRelease: base + 1,
        });
      }
      await waitUntilInForce(base + 1);
    }
  });

  it('answers a resent note with its first result, also after a leader change and restarts', async () => {
    const note = createNote(0);
    const rejectedNote = createNote(7);
    expect(await postUntilAccepted('centro-2', note)).toBe(1);
    expect((await postNote('centro-2', rejectedNote)).status).toBe(409);
    expect(await postUntilAccepted('serra-2', createNote(1))).toBe(2);
    const formerLeader = await waitForLeader();
    await cluster.kill(formerLeader);
    expect(await postUntilAccepted('ribeira-2', note)).toBe(1);
    await cluster.start(formerLeader);
    await cluster.waitUntilReady(formerLeader);
    for (const id of REPLICAS) {
      await cluster.kill(id);
      await cluster.start(id);
      await cluster.waitUntilReady(id);
    }
    expect(await postUntilAccepted('serra-1', note)).toBe(1);
    expect(await postNote('serra-1', rejectedNote)).toMatchObject({
      status: 409,
    });
    expect(await postNote('serra-1', {...note, base: 2})).toMatchObject({
      status: 409,
    });
    await waitUntilInForce(2);
  });

  it('keeps 500 accepted notes when each replica restarts in turn and when all instances restart at once', async () => {
    for (let base = 0; base < 500; base++) {
      expect(await postUntilAccepted('centro-2', createNote(base))).toBe(
        base + 1,
      );
      if (base % 150 === 100) {
        const id = REPLICAS[Math.floor(base / 150) % REPLICAS.length]!;
        await cluster.kill(id);
        await cluster.start(id);
      }
    }
    await waitUntilInForce(500);
    const ids = [...cluster.daemons.keys()];
    await Promise.all(ids.map(id => cluster.kill(id)));
    await Promise.all(ids.map(id => cluster.start(id)));
    await cluster.waitUntilAllReady();
    await waitUntilInForce(500);
    expect(await postUntilAccepted('centro-1', createNote(500))).toBe(501);
  });

  it('keeps all notes when one replica loses its disk and the next one does so right after the recovery of the first', async () => {
    expect(await postUntilAccepted('centro-2', createNote(0))).toBe(1);
    for (const [n, id] of ['serra-1', 'ribeira-1', 'centro-1'].entries()) {
      await cluster.kill(id);
      await cluster.deleteDataDir(id);
      await cluster.start(id);
      await cluster.waitUntilReady(id);
      await waitUntil(`${id} votes again`, 20_000, async () => {
        const other = REPLICAS.find(replica => replica !== id)!;
        const status = (await cluster.fetchStatus(id)) as {
          replica: {voter: boolean; commitIndex: number};
        };
        const {replica} = (await cluster.fetchStatus(other)) as {
          replica: {replicas: {voters: unknown[]}; commitIndex: number};
        };
        return status.replica.voter && replica.replicas.voters.length === 3;
      });
      expect(await postUntilAccepted('centro-2', createNote(n + 1))).toBe(
        n + 2,
      );
    }
    await waitUntilInForce(4);
  });

  it('brings a partitioned replica and its data centre up to date within 5 s, never to a lower release', async () => {
    const partitioned = ['ribeira-1', 'ribeira-2'];
    expect(await postUntilAccepted('centro-2', createNote(0))).toBe(1);
    await waitUntilInForce(1);
    cluster.setLinkModes(partitioned, 'cut');
    for (let base = 1; base < 40; base++) {
      expect(await postUntilAccepted('centro-2', createNote(base))).toBe(
        base + 1,
      );
    }
    const isolatedResult = await postNote('ribeira-2', createNote(1));
    expect(isolatedResult.status).toBe(503);
    expect((await cluster.fetchStatus('ribeira-2'))['release']).toBe(1);
    expect((await cluster.fetchStatus('ribeira-2'))['cutOff']).toBe(true);
    cluster.setLinkModes(partitioned, 'pass');
    expect(await waitUntilInForce(40)).toBeLessThan(IN_FORCE_MS);
  });

  it('does not serve a withdrawn behaviour on an instance that restarts after many changes', async () => {
    expect(
      await postUntilAccepted('centro-2', {
        noteId: 'a',
        base: 0,
        added: {'behaviour:reminders': 'letter'},
      }),
    ).toBe(1);
    await waitUntilInForce(1);
    await cluster.kill('serra-2');
    await cluster.kill('serra-1');
    for (let base = 1; base < 120; base++) {
      expect(await postUntilAccepted('centro-2', createNote(base))).toBe(
        base + 1,
      );
    }
    expect(
      await postUntilAccepted('centro-2', {
        noteId: 'b',
        base: 120,
        withdrawn: ['behaviour:reminders'],
      }),
    ).toBe(121);
    await Promise.all(['serra-1', 'serra-2'].map(id => cluster.start(id)));
    await cluster.waitUntilAllReady();
    for (const id of ['serra-1', 'serra-2']) {
      const res = await cluster.callOperatorApi(
        id,
        'GET',
        '/v1/releases/current',
      );
      expect(res.text).not.toContain('reminders":{"value"');
      expect(JSON.parse(res.text)).toMatchObject({
        release: 121,
        withdrawn: {'behaviour:reminders': 121},
      });
    }
  });

  it('truncates a torn last record of the journal, and refuses to start when an earlier record is damaged', async () => {
    for (let base = 0; base < 5; base++) {
      expect(await postUntilAccepted('centro-2', createNote(base))).toBe(
        base + 1,
      );
    }
    const path = join(cluster.dataDirOf('serra-1'), 'release.journal');
    await cluster.kill('serra-1');
    const intact = await readFile(path);
    await writeFile(
      path,
      Buffer.concat([
        intact,
        Buffer.from([40, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9]),
      ]),
    );
    const daemon = await cluster.start('serra-1');
    await waitUntil(
      'serra-1 is ready',
      10_000,
      async () => (await cluster.fetchStatus('serra-1'))['state'] === 'ready',
    );
    expect(daemon.events('logTailCut').length).toBe(1);
    await cluster.kill('serra-1');
    const damaged = await readFile(path);
    damaged[Math.floor(damaged.length / 3)]! ^= 0x55;
    await writeFile(path, damaged);
    await expect(cluster.start('serra-1')).rejects.toThrow(
      'journal is corrupt at byte',
    );
    await cluster.deleteDataDir('serra-1');
    await cluster.start('serra-1');
    await cluster.waitUntilReady('serra-1');
    await waitUntilInForce(5);
  });
});
