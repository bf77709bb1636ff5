import {spawn} from 'node:child_process';
import {readFile, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  Cluster,
  FakeTarget,
  TEST_TIMING,
  waitUntil,
} from '@papayarun/stand_ins';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

const MAIN = fileURLToPath(new URL('../dist/main.js', import.meta.url));

interface Run {
  readonly code: number | null;
  readonly out: string;
  readonly err: string;
}

describe('papayarun', () => {
  let cluster: Cluster;
  let target: FakeTarget;
  let env: Record<string, string>;

  beforeAll(async () => {
    const members = [{id: 'centro-1', dataCentre: 'centro', replica: true}];
    cluster = await Cluster.create(members, {timing: TEST_TIMING});
    await cluster.start('centro-1');
    const {operatorsPort, callersPort} = cluster.daemon('centro-1').ports;
    env = {
      PAPAYARUN_OPERATORS_URL: `http://127.0.0.1:${operatorsPort}`,
      PAPAYARUN_CALLERS_URL: `http://127.0.0.1:${callersPort}`,
      PAPAYARUN_KEY_FILE: join(cluster.folder, 'operator.key'),
    };
    target = await FakeTarget.create({
      targetId: 'runner-1',
      service: 'booking',
      slots: 4,
      announcePorts: () => cluster.callersPorts(),
      announceMs: 200,
    });
  });

  afterAll(async () => {
    await target.close();
    await cluster.close();
  });

  function run(args: readonly string[], input = ''): Promise<Run> {
    return new Promise(resolve => {
      const child = spawn(process.execPath, [MAIN, ...args], {
        env: {...process.env, ...env},
      });
      let out = '';
      let err = '';
      child.stdout.on('data', chunk => (out += chunk));
      child.stderr.on('data', chunk => (err += chunk));
      child.on('close', code => resolve({code, out, err}));
      child.stdin.end(input);
    });
  }

  it('forms the release log once, and again without change', async () => {
    expect(await run(['show', 'instances'])).toMatchObject({code: 0});
    expect(await run(['form-cluster', '--json'])).toMatchObject({code: 0});
    expect(await run(['form-cluster'])).toMatchObject({code: 0});
    await cluster.ready('centro-1');
  });

  it('applies, repeats, shows and lists notes', async () => {
    const path = join(cluster.folder, 'note.json');
    await writeFile(
      path,
      JSON.stringify({
        noteId: 'n1',
        base: 0,
        added: {'kind:desk': {weight: 2}},
      }),
    );
    const first = await run(['release', 'apply', path, '--json']);
    expect(JSON.parse(first.out)).toMatchObject({kind: 'accepted', release: 1});
    expect((await run(['release', 'apply', path, '--json'])).out).toBe(
      first.out,
    );
    expect((await run(['release', 'show'])).out).toContain('kind:desk');
    expect((await run(['release', 'list'])).out).toContain('n1');
    const conflict = await run(
      ['release', 'apply', '-'],
      JSON.stringify({noteId: 'n2', base: 0, withdrawn: ['kind:desk']}),
    );
    expect(conflict).toMatchObject({code: 3});
    expect(conflict.err).toContain('written against release 0');
  });

  it('tells a refusal from what may have run by its exit code', async () => {
    await waitUntil(
      'the target is used',
      5_000,
      async () =>
        (await run(['request', 'booking', 'run', '--repeatable'])).code === 0,
    );
    expect(await run(['request', 'booking', 'run'])).toMatchObject({code: 0});
    expect(
      await run(['request', 'nowhere', 'run', '--repeatable']),
    ).toMatchObject({code: 3});
    target.fault = 'beforeHeaders';
    expect(await run(['request', 'booking', 'run'])).toMatchObject({code: 4});
    target.fault = 'none';
    expect(
      await run(['request', 'booking', 'run', '--kind', 'NO']),
    ).toMatchObject({code: 3});
  });

  it('shows queues, targets, workers and status as tables and JSON', async () => {
    for (const list of [
      'queues',
      'targets',
      'workers',
      'instances',
      'status',
    ]) {
      expect((await run(['show', list])).code).toBe(0);
      const {out} = await run(['show', list, '--json']);
      expect(typeof JSON.parse(out)).toBe('object');
    }
  });

  it('refuses wrong arguments and settings, naming them', async () => {
    expect(await run(['show', 'nothing'])).toMatchObject({code: 2});
    const settings = await run(['check-settings', '-'], '{"instanceId": 7}');
    expect(settings.code).toBe(2);
    expect(settings.out).toContain('$.instanceId');
    expect(settings.out).toContain('found 7');
    const path = join(cluster.folder, 'centro-1.json');
    expect(await run(['check-settings', path])).toMatchObject({code: 0});
    expect(await run(['show', 'queues', '--key-file', path])).toMatchObject({
      code: 2,
    });
    const wrong = join(cluster.folder, 'wrong.key');
    await writeFile(wrong, 'not-the-key-of-this-cluster');
    const key = await run(['show', 'queues', '--key-file', wrong]);
    expect(key).toMatchObject({code: 3});
    expect(key.err).toContain('unauthorized');
  });

  it('reads the log settings again at SIGHUP and keeps the old ones when they are wrong', async () => {
    const daemon = cluster.daemon('centro-1');
    const path = join(cluster.folder, 'centro-1.json');
    const cfg = JSON.parse(await readFile(path, 'utf8')) as Record<
      string,
      unknown
    >;
    await writeFile(path, JSON.stringify({...cfg, log: {level: 'loud'}}));
    daemon.signal('SIGHUP');
    await waitUntil(
      'they are refused',
      5_000,
      () => daemon.events('settingsRefused').length === 1,
    );
    await writeFile(
      path,
      JSON.stringify({...cfg, log: {level: 'info', decisions: false}}),
    );
    daemon.signal('SIGHUP');
    await waitUntil(
      'they are read',
      5_000,
      () => daemon.events('settingsReloaded').length === 1,
    );
    const before = daemon.events('placed').length;
    expect(
      await run(['request', 'booking', 'run', '--repeatable']),
    ).toMatchObject({code: 0});
    expect(daemon.events('placed').length).toBe(before);
  });

  it('drains an instance', async () => {
    expect(await run(['drain'])).toMatchObject({code: 0});
    await cluster.daemon('centro-1').ended();
    expect(await run(['show', 'queues'])).toMatchObject({code: 3});
  });
});
