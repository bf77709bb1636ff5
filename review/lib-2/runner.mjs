import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {sendJson} from './http.mjs';

const MAX_HOLD_MS = 1_000;
const STOP_MS = 20;
const HEARTBEAT_MS = 1_500;
const MAX_LISTED_ENDS = 500;

/**
 * Stand-in of a runner, after PROTOCOL.md: leases, fencing tokens, ends and
 * heartbeats. `disturb` may change how one order is handled.
 */
export class Runner {
  constructor(opts) {
    this.opts = opts;
    this.id = opts.id;
    this.born = Date.now();
    this.startedMs = performance.now();
    this.runs = new Map();
    this.barred = new Map();
    this.ends = [];
    this.endCount = 0;
    this.token = 0;
    this.leaseEndMs = 0;
    this.seq = 0;
    this.state = 'ready';
    this.waiters = new Set();
    this.control = opts.controlOffset ?? 0;
  }

  static async create(opts) {
    const runner = new Runner(opts);
    runner.server = createServer((req, res) => void runner.handle(req, res));
    runner.server.keepAliveTimeout = 60_000;
    await new Promise((resolve, reject) => {
      runner.server.once('error', reject);
      runner.server.listen(opts.port ?? 0, opts.host, resolve);
    });
    runner.port = runner.server.address().port;
    return runner;
  }

  get address() {
    return `${this.opts.host}:${this.port}`;
  }

  clockMs() {
    return Math.floor(performance.now() - this.startedMs);
  }

  /** Body of the next heartbeat. */
  heartbeat() {
    return {
      service: this.opts.service,
      address: this.address,
      zone: this.opts.zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      coldRemainingMs: 0,
      capacity: {cpu: this.opts.cpu ?? 32_000, memMb: 131_072, gpu: 0},
      labels: this.opts.labels ?? ['a', 'r1-1'],
      clockMs: this.clockMs(),
      born: this.born,
      seq: ++this.seq,
    };
  }

  /** Sends heartbeats until `close`; the next node is called after a failure. */
  startHeartbeats() {
    void this.sendHeartbeat();
    this.timer = setInterval(() => void this.sendHeartbeat(), HEARTBEAT_MS);
  }

  async sendHeartbeat() {
    const body = this.heartbeat();
    const controls = this.opts.controls;
    for (let tries = 0; tries < controls.length && !this.isClosed; tries++) {
      const control = controls[this.control++ % controls.length];
      const path = `/v1/instances/${this.id}`;
      const res = await sendJson('PUT', control, path, body);
      if (res.status >= 200 && res.status < 300) {
        return true;
      }
    }
    return false;
  }

  close() {
    this.isClosed = true;
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
    for (const [task, {run, timer}] of this.runs) {
      clearTimeout(timer);
      this.note('ended', task, run, 'crashed');
    }
    this.runs.clear();
    clearTimeout(this.lapseTimer);
  }

  note(what, task, run, detail = '') {
    this.opts.onEvent?.({what, runner: this.id, task, run, detail});
  }

  async handle(req, res) {
    const chunks = [];
    for await (const chunk of req) {
      chunks.push(chunk);
    }
    const reply = (status, json) => {
      if (!this.isClosed) {
        res.writeHead(status, {'content-type': 'application/json'});
        res.end(JSON.stringify({clockMs: this.clockMs(), ...json}));
      }
    };
    if (req.headers['x-expected-instance'] !== this.id) {
      reply(421, {});
      return;
    }
    const body = JSON.parse(Buffer.concat(chunks).toString('utf8'));
    const carryOut = () => this.carryOut(req.url, body, reply);
    if (!this.opts.disturb?.(req.url, body, carryOut, reply)) {
      carryOut();
    }
  }

  carryOut(url, body, reply) {
    if (this.isClosed) {
      return;
    }
    const {fencingToken = 0} = body;
    if (fencingToken < this.token) {
      reply(409, {reason: 'fence'});
      return;
    }
    this.token = fencingToken;
    if (url === '/v1/run-start') {
      this.start(body, reply);
    } else if (url === '/v1/run-stop') {
      this.stop(body);
      reply(200, {});
    } else if (url === '/v1/hold') {
      this.hold(body, reply);
    } else {
      reply(404, {});
    }
  }

  start({task, run, spec, expiresAtMs}, reply) {
    const present = this.runs.get(task);
    if (present?.run === run) {
      this.extendLease(expiresAtMs);
      reply(200, {});
      return;
    }
    if (run <= (this.barred.get(task) ?? 0) || present) {
      this.extendLease(expiresAtMs);
      reply(409, {reason: 'old'});
      return;
    }
    if (expiresAtMs <= this.clockMs()) {
      reply(409, {reason: 'late'});
      return;
    }
    this.extendLease(expiresAtMs);
    const {cpu = 14_000, runMs = 60} = JSON.parse(spec || '{}');
    const used = [...this.runs.values()].reduce((sum, r) => sum + r.cpu, 0);
    if (used + cpu > (this.opts.cpu ?? 32_000)) {
      reply(409, {reason: 'room'});
      return;
    }
    const timer = setTimeout(() => this.end(task, run, 'done'), runMs);
    this.runs.set(task, {run, cpu, timer, startedMs: this.clockMs()});
    this.note('started', task, run);
    reply(200, {});
  }

  stop({task, run}) {
    this.barred.set(task, Math.max(run, this.barred.get(task) ?? 0));
    if (this.runs.get(task)?.run === run) {
      setTimeout(() => this.end(task, run, 'stopped'), STOP_MS);
    }
  }

  hold({expiresAtMs, seenUpto = 0, waitMs = 0}, reply) {
    if (expiresAtMs !== undefined && this.runs.size > 0) {
      this.extendLease(expiresAtMs);
    }
    this.ends = this.ends.filter(([n]) => n > seenUpto);
    const answer = () => {
      clearTimeout(timer);
      this.waiters.delete(answer);
      reply(200, {
        born: this.born,
        running: [...this.runs].map(([task, {run}]) => [
          task,
          run,
          '',
          50,
          14_000,
        ]),
        ended: this.ends.slice(0, MAX_LISTED_ENDS),
      });
    };
    const timer = setTimeout(answer, Math.min(waitMs, 2_000));
    this.waiters.add(answer);
    if (waitMs === 0 || this.ends.length > 0) {
      answer();
    }
  }

  extendLease(expiresAtMs = 0) {
    const latestMs = this.clockMs() + MAX_HOLD_MS;
    this.leaseEndMs = Math.max(
      this.leaseEndMs,
      Math.min(expiresAtMs, latestMs),
    );
    clearTimeout(this.lapseTimer);
    this.lapseTimer = setTimeout(() => {
      for (const [task, {run}] of [...this.runs]) {
        this.end(task, run, 'lapsed');
      }
    }, this.leaseEndMs - this.clockMs());
  }

  end(task, run, how) {
    const present = this.runs.get(task);
    if (present?.run !== run || this.isClosed) {
      return;
    }
    clearTimeout(present.timer);
    this.runs.delete(task);
    this.barred.set(task, Math.max(run, this.barred.get(task) ?? 0));
    this.ends.push([++this.endCount, task, run, how, '']);
    this.note('ended', task, run, how);
    [...this.waiters].forEach(answer => answer());
  }
}
