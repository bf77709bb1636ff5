/* global Buffer, clearTimeout, process, setTimeout */
// Starts the programs of the deploy file as separate processes on loopback
// addresses, with settings like those of a small deployment.
import {spawn} from 'node:child_process';
import {mkdirSync, mkdtempSync, openSync, rmSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..');
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

export const BOUNDS = {
  graceS: 6,
  maxHoldMs: 1000,
  stopMs: 50,
  resendMs: 1300,
  heartbeatMs: 1500,
  cancelMs: 3000,
  drainMs: 2000,
  contactMs: 3000,
  configApplyMs: 2000,
};

const RESTART_DELAY_MS = 500;

function isFree(host, port) {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Returns a port below the usual range of outgoing connections. */
async function freePort(host, taken) {
  for (;;) {
    const port = 15000 + Math.floor(Math.random() * 15000);
    if (!taken.has(port) && (await isFree(host, port))) {
      taken.add(port);
      return port;
    }
  }
}

/** Sends one HTTP request; resolves with the status, or 0 without an answer. */
export function send(
  method,
  address,
  path,
  {body, headers = {}, timeoutMs = 1000, onRequest} = {},
) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const payload =
      body === undefined
        ? undefined
        : typeof body === 'string' || Buffer.isBuffer(body)
          ? body
          : JSON.stringify(body);
    const req = request({
      host,
      port,
      method,
      path,
      agent: false,
      headers: {
        ...(payload === undefined
          ? {}
          : {
              'content-type': 'application/json',
              'content-length': Buffer.byteLength(payload),
            }),
        ...headers,
      },
    });
    let isDone = false;
    const finish = res => {
      if (!isDone) {
        isDone = true;
        clearTimeout(timer);
        req.destroy();
        resolve(res);
      }
    };
    const timer = setTimeout(
      () => finish({status: 0, error: 'no answer in time'}),
      timeoutMs,
    );
    req.on('error', err => finish({status: 0, error: err.code ?? err.message}));
    req.on('response', res => {
      const chunks = [];
      res.on('data', c => chunks.push(c));
      res.on('error', err => finish({status: 0, error: err.message}));
      res.on('close', () => {
        if (!res.complete) {
          finish({status: 0, error: 'answer cut off'});
          return;
        }
        const text = Buffer.concat(chunks).toString();
        let json;
        try {
          json = JSON.parse(text);
        } catch {
          json = undefined;
        }
        finish({status: res.statusCode, headers: res.headers, text, json});
      });
    });
    onRequest?.(req);
    req.end(payload);
  });
}

export class System {
  constructor({
    zones,
    entriesPerZone = 2,
    statesPerZone = 1,
    entryCores = 0.675,
    log = () => {},
  }) {
    this.zones = zones;
    this.log = log;
    this.dir = mkdtempSync(join(tmpdir(), 'review-3-'));
    this.machines = [];
    this.entriesPerZone = entriesPerZone;
    this.statesPerZone = statesPerZone;
    this.entryCores = entryCores;
    this.net = 10 + (process.pid % 200);
  }

  async start() {
    const host0 = `127.${this.net}.0.1`;
    const taken = new Set([9464]);
    this.ports = {
      peer: await freePort(host0, taken),
      front: await freePort(host0, taken),
      ready: await freePort(host0, taken),
      control: await freePort(host0, taken),
    };
    this.zones.forEach((zone, z) => {
      for (let n = 0; n < this.statesPerZone; n++) {
        this.addMachine('state', zone, `127.${this.net}.${z + 1}.${n + 10}`);
      }
      for (let n = 0; n < this.entriesPerZone; n++) {
        this.addMachine('entry', zone, `127.${this.net}.${z + 1}.${n + 100}`);
      }
    });
    this.seeds = this.states()
      .slice(0, 3)
      .map(m => m.control);
    for (const m of this.machines) {
      this.writeSettings(m, true);
      this.launch(m);
    }
  }

  addMachine(role, zone, host) {
    const name = `${role}-${zone}-${host.split('.')[3]}`;
    const m = {
      role,
      zone,
      host,
      name,
      incarnation: 0,
      child: undefined,
      exits: [],
    };
    if (role === 'entry') {
      m.front = `${host}:${this.ports.front}`;
      m.ready = `${host}:${this.ports.ready}`;
    } else {
      m.control = `${host}:${this.ports.control}`;
      m.dataDir = join(this.dir, `data-${name}`);
      mkdirSync(m.dataDir);
    }
    this.machines.push(m);
    return m;
  }

  entries() {
    return this.machines.filter(m => m.role === 'entry');
  }

  states() {
    return this.machines.filter(m => m.role === 'state');
  }

  /** Writes what deploy/settings.template.json renders for a machine. */
  writeSettings(m, isFirstStart) {
    m.file = join(this.dir, `${m.name}.json`);
    writeFileSync(
      m.file,
      JSON.stringify({
        instance: m.name,
        dataCentre: m.zone,
        host: m.host,
        peerPort: this.ports.peer,
        seeds: this.seeds,
        isFirstStart,
        ...(m.dataDir ? {dataDir: m.dataDir} : {}),
        ...(m.front ? {callers: m.front} : {}),
        ...(m.ready ? {readiness: m.ready} : {}),
        ...(m.control ? {control: m.control} : {}),
        cores: m.role === 'entry' ? this.entryCores : 1.35,
        memoryMb: 346,
        shutdownS: BOUNDS.graceS,
        targetLeaseMs: BOUNDS.maxHoldMs,
        targetStopMs: BOUNDS.stopMs,
        callerResendMs: BOUNDS.resendMs,
        dataCentres: Object.fromEntries(this.zones.map(z => [z, 'region'])),
        targetReportMs: BOUNDS.heartbeatMs,
      }),
    );
  }

  launch(m) {
    m.incarnation++;
    const out = openSync(join(this.dir, `${m.name}.log`), 'a');
    const child = spawn(
      process.execPath,
      ['--max-old-space-size=170', 'target/papayarun-node.mjs', m.role],
      {
        cwd: ROOT,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME ?? '/',
          PAPAYARUN_NODE_FILE: m.file,
        },
        stdio: ['ignore', out, out],
      },
    );
    m.child = child;
    m.isUp = true;
    m.isExpectedToEnd = false;
    m.exited = new Promise(resolve =>
      child.once('exit', (code, signal) => {
        m.isUp = false;
        m.exits.push({code, signal, wasExpected: m.isExpectedToEnd});
        this.log('process', {
          machine: m.name,
          ended: signal ?? code,
          expected: m.isExpectedToEnd,
        });
        resolve();
        if (!m.isExpectedToEnd && !this.isStopped) {
          // The platform starts a process that has ended again, after a short delay.
          setTimeout(() => !m.isUp && this.restart(m), RESTART_DELAY_MS);
        }
      }),
    );
  }

  /** SIGKILL; the platform starts the process again after a delay. */
  async kill(m, downMs) {
    m.isExpectedToEnd = true;
    this.log('fault', {machine: m.name, kind: 'kill', downMs});
    m.child.kill('SIGKILL');
    await m.exited;
    if (downMs !== undefined) {
      await sleep(downMs);
      this.restart(m);
    }
  }

  restart(m) {
    if (this.isStopped) {
      return;
    }
    this.writeSettings(m, false);
    this.launch(m);
    this.log('fault', {machine: m.name, kind: 'started'});
  }

  async freeze(m, ms) {
    this.log('fault', {machine: m.name, kind: 'freeze', ms});
    m.child.kill('SIGSTOP');
    await sleep(ms);
    m.child.kill('SIGCONT');
    this.log('fault', {machine: m.name, kind: 'thaw'});
  }

  async terminate(m, downMs) {
    this.log('fault', {machine: m.name, kind: 'SIGTERM'});
    m.isExpectedToEnd = true;
    m.child.kill('SIGTERM');
    const isGone = await Promise.race([
      m.exited.then(() => true),
      sleep(BOUNDS.graceS * 1000).then(() => false),
    ]);
    if (!isGone) {
      m.child.kill('SIGKILL');
      await m.exited;
    }
    if (downMs !== undefined) {
      await sleep(downMs);
      this.restart(m);
    }
  }

  /** Sends a configuration until one state instance acknowledges it. */
  async putConfig(cfg, {attempts = 60} = {}) {
    for (let n = 0; n < attempts; n++) {
      const states = this.states();
      const m = states[n % states.length];
      const res = await send('PUT', m.control, '/v1/config', {
        body: cfg,
        timeoutMs: 3000,
      });
      if (res.status === 200) {
        this.log('config', {version: cfg.version, status: 200, at: m.name});
        return true;
      }
      await sleep(250);
    }
    return false;
  }

  /** Waits until all entries report that they are ready. */
  async waitReady(ms = 15000) {
    const untilMs = Date.now() + ms;
    while (Date.now() < untilMs) {
      const all = await Promise.all(
        this.entries().map(m =>
          send('GET', m.ready, '/v1/readiness', {timeoutMs: 500}),
        ),
      );
      if (all.every(r => r.status === 200)) {
        return true;
      }
      await sleep(200);
    }
    return false;
  }

  async stop() {
    this.isStopped = true;
    for (const m of this.machines) {
      m.isExpectedToEnd = true;
      if (m.child?.exitCode === null && m.child.signalCode === null) {
        m.child.kill('SIGCONT');
        m.child.kill('SIGKILL');
        await m.exited;
      }
    }
    if (!process.env.KEEP_LOGS) {
      rmSync(this.dir, {recursive: true, force: true});
    }
  }
}
