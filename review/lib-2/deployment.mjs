import {spawn} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {mkdir, mkdtemp, readFile, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join, resolve} from 'node:path';
import {performance} from 'node:perf_hooks';
import {env, execPath} from 'node:process';
import {setTimeout} from 'node:timers';
import {fileURLToPath} from 'node:url';
import {sendJson} from './http.mjs';

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');
const ZONES = ['centro', 'serra', 'ribeira'];
const READY_WITHIN_MS = 30_000;

export const sleep = ms => new Promise(r => setTimeout(r, ms));

/** Commands of the roles, as the deploy file has them. */
async function deployCommands() {
  const text = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
  const commands = {};
  let role;
  for (const line of text.split('\n')) {
    role = line.match(/^\[roles\.(\w+)\]/)?.[1] ?? role;
    const run = line.match(/^run = "(.*)"/)?.[1];
    if (run) {
      commands[role] = run.split(' ');
    }
  }
  return commands;
}

/** A third octet pair that no other deployment of this machine uses. */
async function freeSubnet() {
  for (let tries = 0; tries < 50; tries++) {
    const subnet = `127.${60 + Math.floor(Math.random() * 150)}.${Math.floor(Math.random() * 250)}`;
    const isFree = await new Promise(done => {
      const server = createServer();
      server.once('error', () => done(false));
      server.listen(9464, `${subnet}.1`, () => server.close(() => done(true)));
    });
    if (isFree) {
      return subnet;
    }
  }
  throw new Error('no free loopback addresses');
}

/**
 * State and entry processes with the commands of the deploy file, each on a
 * loopback address of its own, in three zones.
 */
export class Deployment {
  static async create({entriesPerZone = 2, zones = ZONES, logFile} = {}) {
    const d = new Deployment();
    d.zones = zones;
    d.commands = await deployCommands();
    d.subnet = await freeSubnet();
    d.folder = await mkdtemp(join(tmpdir(), 'papayarun-review-'));
    d.log = logFile && createWriteStream(logFile);
    d.ports = {peer: 7720, control: 8166, callers: 8161, readiness: 8167};
    d.states = ZONES.map((zone, n) => ({
      role: 'state',
      name: `core-${zone}-1`,
      zone,
      host: `${d.subnet}.${n + 1}`,
    }));
    d.entries = zones.flatMap((zone, z) =>
      Array.from({length: entriesPerZone}, (_, n) => ({
        role: 'entry',
        name: `edge-${zone}-${n + 1}`,
        zone,
        host: `${d.subnet}.${20 + 10 * z + n}`,
      })),
    );
    d.controls = d.states.map(({host}) => `${host}:${d.ports.control}`);
    for (const node of [...d.states, ...d.entries]) {
      await d.start(node, true);
    }
    return d;
  }

  callers(entry) {
    return `${entry.host}:${this.ports.callers}`;
  }

  /** Starts a process, again with the disk that it had. */
  async start(node, isFirstStart = false) {
    const cfg = {
      instance: node.name,
      dataCentre: node.zone,
      host: node.host,
      peerPort: this.ports.peer,
      seeds: this.controls,
      isFirstStart,
      cores: node.role === 'entry' ? 0.675 : 1.35,
      shutdownS: 6,
      targetLeaseMs: 1_000,
      targetStopMs: 50,
      targetReportMs: 1_500,
      callerResendMs: 1_300,
    };
    if (node.role === 'state') {
      cfg.dataDir = join(this.folder, node.name);
      cfg.control = `${node.host}:${this.ports.control}`;
      await mkdir(cfg.dataDir, {recursive: true});
    } else {
      cfg.callers = this.callers(node);
      cfg.readiness = `${node.host}:${this.ports.readiness}`;
    }
    const file = join(this.folder, `${node.name}.json`);
    await writeFile(file, JSON.stringify(cfg));
    const [program, ...args] = this.commands[node.role];
    const childEnv = {
      PATH: env.PATH,
      HOME: this.folder,
      PAPAYARUN_NODE_FILE: file,
    };
    const child = spawn(program === 'node' ? execPath : program, args, {
      cwd: ROOT,
      env: childEnv,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    node.child = child;
    node.hasExited = false;
    node.exited = new Promise(done =>
      child.once('exit', (code, signal) => {
        node.hasExited = true;
        done({code, signal});
      }),
    );
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', chunk => this.log?.write(chunk));
    }
  }

  /** Sends the configuration until it is acknowledged. */
  async configure(configuration) {
    const endMs = performance.now() + READY_WITHIN_MS;
    for (let n = 0; performance.now() < endMs; n++) {
      const control = this.controls[n % this.controls.length];
      const res = await sendJson('PUT', control, '/v1/config', configuration);
      if (res.status === 200) {
        return;
      }
      await sleep(200);
    }
    throw new Error('the configuration was not acknowledged');
  }

  /** Waits until all entries are ready. */
  async ready() {
    const endMs = performance.now() + READY_WITHIN_MS;
    for (const entry of this.entries) {
      const address = `${entry.host}:${this.ports.readiness}`;
      for (;;) {
        const res = await sendJson('GET', address, '/v1/readiness');
        if (res.status === 200) {
          break;
        }
        if (performance.now() > endMs) {
          throw new Error(`${entry.name} is not ready`);
        }
        await sleep(100);
      }
    }
  }

  async stop() {
    for (const node of [...this.states, ...this.entries]) {
      if (node.child && !node.hasExited) {
        node.child.kill('SIGCONT');
        node.child.kill('SIGKILL');
        await node.exited;
      }
    }
    this.log?.end();
    await rm(this.folder, {recursive: true, force: true});
  }
}

/** Configuration with one queue of the service `falhas`. */
export const CONFIGURATION = {
  version: 7,
  routes: [
    {
      name: 'relato',
      host: 'a.example',
      pathPrefix: '/x/',
      routeType: 'non_idempotent',
      timeoutMs: 1_500,
      targetLatencyMs: 60,
      priority: 0,
      service: 'falhas',
      maxAttempts: 4,
      stretch: 1.6,
    },
  ],
  services: [
    {
      name: 'falhas',
      healthPath: '/health',
      maxConns: 64,
      protocol: 'h1',
      tls: false,
      admissionControl: true,
      standby: false,
    },
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 262_144,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
};
