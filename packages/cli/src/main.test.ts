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

const MAIN_PATH = fileURLToPath(new URL('../dist/main.js', import.meta.url));

interface CommandResult {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
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

  function runCli(args: readonly string[], input = ''): Promise<CommandResult> {
    return new Promise(resolve => {
      const child = spawn(process.execPath, [MAIN_PATH, ...args], {
        env: {...process.env, ...env},
      });
      let stdout = '';
      let stderr = '';
      child.stdout.on('data', chunk => (stdout += chunk));
      child.stderr.on('data', chunk => (stderr += chunk));
      child.on('close', code => resolve({code, stdout, stderr}));
      child.stdin.end(input);
    });
  }

  it('bootstraps the release log once and accepts a second form-cluster without change', async () => {
    expect(await runCli(['show', 'instances'])).toMatchObject({code: 0});
    expect(await runCli(['form-cluster', '--json'])).toMatchObject({code: 0});
    expect(await runCli(['form-cluster'])).toMatchObject({code: 0});
    await cluster.waitUntilReady('centro-1');
  });

  it('applies, reapplies, shows and lists release notes', async () => {
    const path = join(cluster.folder, 'note.json');
    await writeFile(
      path,
      JSON.stringify({
        noteId: 'n1',
        base: 0,
        added: {'kind:desk': {weight: 2}},
      }),
    );
    const first = await runCli(['release', 'apply', path, '--json']);
    expect(JSON.parse(first.stdout)).toMatchObject({
      kind: 'accepted',
      release: 1,
    });
    expect((await runCli(['release', 'apply', path, '--json'])).stdout).toBe(
      first.stdout,
    );
    expect((await runCli(['release', 'show'])).stdout).toContain('kind:desk');
    expect((await runCli(['release', 'list'])).stdout).toContain('n1');
    const conflict = await runCli(
      ['release', 'apply', '-'],
      JSON.stringify({noteId: 'n2', base: 0, withdrawn: ['kind:desk']}),
    );
    expect(conflict).toMatchObject({code: 3});
    expect(conflict.stderr).toContain('written against release 0');
  });

  it('distinguishes by exit code between a rejected request and one that may have run', async () => {
    await waitUntil(
      'the target serves a request',
      5_000,
      async () =>
        (await runCli(['request', 'booking', 'run', '--repeatable'])).code ===
        0,
    );
    expect(await runCli(['request', 'booking', 'run'])).toMatchObject({
      code: 0,
    });
    expect(
      await runCli(['request', 'nowhere', 'run', '--repeatable']),
    ).toMatchObject({code: 3});
    target.fault = 'beforeHeaders';
    expect(await runCli(['request', 'booking', 'run'])).toMatchObject({
      code: 4,
    });
    target.fault = 'none';
    expect(
      await runCli(['request', 'booking', 'run', '--kind', 'NO']),
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
      expect((await runCli(['show', list])).code).toBe(0);
      const {stdout} = await runCli(['show', list, '--json']);
      expect(typeof JSON.parse(stdout)).toBe('object');
    }
  });

  it('rejects invalid arguments, settings and keys and names the invalid setting', async () => {
    expect(await runCli(['show', 'nothing'])).toMatchObject({code: 2});
    const checkResult = await runCli(
      ['check-settings', '-'],
      '{"instanceId": 7}',
    );
    expect(checkResult.code).toBe(2);
    expect(checkResult.stdout).toContain('$.instanceId');
    expect(checkResult.stdout).toContain('found 7');
    const path = join(cluster.folder, 'centro-1.json');
    expect(await runCli(['check-settings', path])).toMatchObject({code: 0});
    expect(await runCli(['show', 'queues', '--key-file', path])).toMatchObject({
      code: 2,
    });
    const wrongKeyPath = join(cluster.folder, 'wrong.key');
    await writeFile(wrongKeyPath, 'not-the-key-of-this-cluster');
    const wrongKeyResult = await runCli([
      'show',
      'queues',
      '--key-file',
      wrongKeyPath,
    ]);
    expect(wrongKeyResult).toMatchObject({code: 3});
    expect(wrongKeyResult.stderr).toContain('unauthorized');
  });

  it('reloads the log settings on SIGHUP and keeps the old ones when the new ones are invalid', async () => {
    const daemon = cluster.daemon('centro-1');
    const path = join(cluster.folder, 'centro-1.json');
    const cfg = JSON.parse(await readFile(path, 'utf8')) as Record<
      string,
      unknown
    >;
    await writeFile(path, JSON.stringify({...cfg, log: {level: 'loud'}}));
    daemon.signal('SIGHUP');
    await waitUntil(
      'the invalid log settings are rejected',
      5_000,
      () => daemon.events('settingsRefused').length === 1,
    );
    await writeFile(
      path,
      JSON.stringify({...cfg, log: {level: 'info', decisions: false}}),
    );
    daemon.signal('SIGHUP');
    await waitUntil(
      'the valid log settings are reloaded',
      5_000,
      () => daemon.events('settingsReloaded').length === 1,
    );
    const placedBefore = daemon.events('placed').length;
    expect(
      await runCli(['request', 'booking', 'run', '--repeatable']),
    ).toMatchObject({code: 0});
    expect(daemon.events('placed').length).toBe(placedBefore);
  });

  it('stops an instance after it has drained', async () => {
    expect(await runCli(['drain'])).toMatchObject({code: 0});
    await cluster.daemon('centro-1').waitForExit();
    expect(await runCli(['show', 'queues'])).toMatchObject({code: 3});
  });
});
