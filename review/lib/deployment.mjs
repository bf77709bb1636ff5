import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout} from 'node:timers';
import {fileURLToPath} from 'node:url';
import {send} from './http.mjs';
import {callersOf, controlOf, readinessOf, settingsOf} from './settings.mjs';

const LIB = dirname(fileURLToPath(import.meta.url));
const REPOSITORY = join(LIB, '..', '..');
const RUNNER_PORT = 8_080;
const SERVICE = 'falhas';
/** Fields of log lines that are left out of the record. */
const COMMON_FIELDS = new Set([
  'hostname',
  'pid',
  'name',
  'v',
  'time',
  'level',
  'msg',
]);
export const HOST = 'a.example';
export const PREFIX = '/x/';
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Command of a role in the deploy file, as program and arguments. */
function commandOf(role) {
  const text = readFileSync(join(REPOSITORY, 'deploy', 'system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1];
  return /^run = "(.*)"$/m.exec(section)[1].split(' ');
}

/** State and entry instances and runners, each a process at an address of its own. */
export class Deployment {
  constructor(record) {
    this.record = record;
    this.directory = mkdtempSync(join(tmpdir(), 'papayarun-review-'));
    const block = process.pid % 30_000;
    this.network = `127.${100 + Math.floor(block / 250)}.${1 + (block % 250)}`;
    this.stateHosts = [1, 2, 3].map(n => `${this.network}.${n}`);
    this.seeds = this.stateHosts.map(controlOf);
    this.processes = new Map();
    this.entries = new Map();
    this.runners = new Map();
    this.hostCount = 10;
  }

  nextHost() {
    return `${this.network}.${++this.hostCount}`;
  }

  /** Starts a process and records its lines of standard output that tell of runs. */
  launch(name, command, env, onLine) {
    const [program, ...args] = command;
    const child = spawn(program, args, {
      cwd: REPOSITORY,
      env: {PATH: process.env.PATH, HOME: process.env.HOME, ...env},
      stdio: ['ignore', 'pipe', 'ignore'],
    });
    this.processes.set(name, child);
    const lines = createInterface({input: child.stdout});
    lines.on('line', onLine);
    child.on('exit', (code, signal) => {
      this.record.add({type: 'exit', process: name, code, signal});
      if (this.processes.get(name) === child) {
        this.processes.delete(name);
      }
    });
    this.record.add({type: 'launched', process: name, pid: child.pid});
    return child;
  }

  launchInstance(role, cfg) {
    const file = join(this.directory, `${cfg.instance}.json`);
    writeFileSync(file, JSON.stringify(cfg));
    const logged = /"eventName":"(\w+)"/;
    const kept = new Set([
      'schedulerBegun',
      'schedulerEnded',
      'schedulerFenced',
      'schedulerGranted',
      'targetAdded',
      'targetGone',
      'targetRunsLost',
      'targetSilent',
      'taskRetried',
      'jobAnswered',
      'jobSplit',
      'jobHandedOver',
      'schedulerLost',
      'linkDown',
      'unexpected',
      'paused',
      'loopLate',
      'callerLeft',
      'submissionWithdrawn',
      'jobScheduled',
      'jobRefused',
      'requesterSilent',
    ]);
    return this.launch(
      cfg.instance,
      commandOf(role),
      {PAPAYARUN_NODE_FILE: file},
      line => {
        const event = logged.exec(line)?.[1];
        if (kept.has(event)) {
          const fields = Object.entries(JSON.parse(line)).filter(
            ([key]) => !COMMON_FIELDS.has(key),
          );
          this.record.add({type: 'log', ...Object.fromEntries(fields)});
        }
      },
    );
  }

  startStates() {
    [1, 2, 3].forEach(n => this.startState(n));
  }

  /** Starts a state instance, which keeps the files of its earlier life. */
  startState(n, {isFirstStart = true} = {}) {
    const name = `core-${n}`;
    const host = this.stateHosts[n - 1];
    const dataDir = join(this.directory, name);
    const cfg = settingsOf({
      role: 'state',
      name,
      zone: 'centro',
      host,
      seeds: this.seeds,
      dataDir,
      cores: 1.35,
    });
    return this.launchInstance('state', {...cfg, isFirstStart});
  }

  startEntry(name, zone, host = this.nextHost()) {
    this.entries.set(name, host);
    const common = {role: 'entry', name, zone, host, seeds: this.seeds};
    return this.launchInstance('entry', settingsOf({...common, cores: 0.675}));
  }

  /** Starts a runner; a second start under the same id is a new life of it. */
  startRunner(id, zone, {cores = 32, firstReportMs = 100, clockRate = 1} = {}) {
    const host = this.runners.get(id)?.host ?? this.nextHost();
    this.runners.set(id, {host, zone, cores, clockRate});
    const args = {
      id,
      zone,
      cores,
      firstReportMs,
      clockRate,
      service: SERVICE,
      address: `${host}:${RUNNER_PORT}`,
      controls: this.seeds,
    };
    const command = ['node', join(LIB, 'runner.mjs'), JSON.stringify(args)];
    return this.launch(id, command, {}, line =>
      this.record.events.push(JSON.parse(line)),
    );
  }

  callersOf(name) {
    return callersOf(this.entries.get(name));
  }

  signal(name, signal) {
    this.record.add({type: 'signal', process: name, signal});
    this.processes.get(name)?.kill(signal);
  }

  /** Kills a process and waits until it is gone. */
  async kill(name) {
    const child = this.processes.get(name);
    const gone = new Promise(resolve => child.once('exit', resolve));
    this.signal(name, 'SIGKILL');
    await gone;
  }

  /** A configuration with one queue. */
  static configuration(version) {
    const route = {
      name: 'relato',
      host: HOST,
      pathPrefix: PREFIX,
      routeType: 'non_idempotent',
      timeoutMs: 1_500,
      targetLatencyMs: 60,
      priority: 0,
      service: SERVICE,
      maxAttempts: 4,
      stretch: 1.6,
    };
    const service = {
      name: SERVICE,
      healthPath: '/health',
      maxConns: 64,
      protocol: 'h1',
      tls: false,
      admissionControl: true,
      standby: false,
    };
    const limits = {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 262_144,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    };
    return {version, routes: [route], services: [service], limits};
  }

  /** Sends a configuration until it is acknowledged. */
  async configure(version) {
    const body = Deployment.configuration(version);
    for (let i = 0; ; i++) {
      const res = await send(
        'PUT',
        this.seeds[i % this.seeds.length],
        '/v1/config',
        {body},
      );
      this.record.add({type: 'config', version, status: res.status});
      if (res.status === 200) {
        return;
      }
      await sleep(100);
      if (i > 150) {
        throw new Error('the configuration was not acknowledged');
      }
    }
  }

  /** Waits until all entries are ready and all runners had time to report. */
  async ready() {
    for (const host of this.entries.values()) {
      for (let i = 0; ; i++) {
        const res = await send('GET', readinessOf(host), '/v1/readiness');
        if (res.status === 200) {
          break;
        }
        await sleep(100);
        if (i > 150) {
          throw new Error(`${host} did not become ready`);
        }
      }
    }
    await sleep(4_000);
  }

  async stop() {
    const children = [...this.processes.values()];
    const gone = children.map(
      child => new Promise(resolve => child.once('exit', resolve)),
    );
    children.forEach(child => child.kill('SIGKILL'));
    await Promise.all(gone);
    rmSync(this.directory, {recursive: true, force: true});
  }
}
