/* global Buffer, clearTimeout, performance, setTimeout */
// A runner as PROTOCOL.md describes it: leases, fencing, ends and heartbeats.
import {createServer} from 'node:http';
import {BOUNDS, send, sleep} from './system.mjs';

export class Runner {
  /**
   * @param {object} opts host, port, id, service, zone, capacity, labels, guards,
   *   controls (function that lists control addresses), workMs (task -> ms),
   *   onEvent (type, data).
   */
  constructor(opts) {
    Object.assign(this, {guards: true, labels: [], driftShare: 0}, opts);
    this.state = 'ready';
    this.reset();
  }

  reset() {
    this.bornAt = performance.now();
    this.born = Date.now();
    this.fence = 0;
    this.leaseEnd = 0;
    this.running = new Map();
    this.ended = [];
    this.nextEnd = 1;
    this.closedRuns = new Map();
    this.waiters = new Set();
    this.seq = 0;
    this.beatTo = undefined;
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  clock() {
    return Math.floor(
      (performance.now() - this.bornAt) * (1 - this.driftShare),
    );
  }

  async start() {
    this.isUp = true;
    this.reset();
    const life = {};
    this.life = life;
    this.server = createServer((req, res) => this.handle(req, res));
    this.server.keepAliveTimeout = 15000;
    this.sockets = new Set();
    this.server.on('connection', s => {
      this.sockets.add(s);
      s.on('error', () => {});
      s.on('close', () => this.sockets.delete(s));
    });
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, this.host, resolve);
    });
    this.port = this.server.address().port;
    this.onEvent('runnerUp', {runner: this.id, born: this.born});
    void this.beatLoop(life);
  }

  /** Ends at once, with all that runs on it, and says nothing. */
  async crash() {
    this.isUp = false;
    this.life = undefined;
    for (const [task, r] of this.running) {
      clearTimeout(r.timer);
      this.onEvent('end', {runner: this.id, task, run: r.run, how: 'crash'});
    }
    this.running.clear();
    clearTimeout(this.leaseTimer);
    this.waiters.clear();
    this.sockets.forEach(s => s.destroy());
    await new Promise(resolve => this.server.close(resolve));
    this.onEvent('runnerDown', {runner: this.id});
  }

  report() {
    return {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      coldRemainingMs: 0,
      capacity: this.capacity,
      labels: this.labels,
      clockMs: this.clock(),
      seq: ++this.seq,
      born: this.born,
      ...(this.state === 'draining' ? {remainingMs: BOUNDS.drainMs} : {}),
    };
  }

  /** Sends one heartbeat; the next node is called if one doesn't answer. */
  async beat(body = this.report()) {
    const {life} = this;
    const controls = this.controls();
    let at = Math.floor(Math.random() * controls.length);
    for (let n = 0; n < controls.length; n++, at++) {
      if (this.life !== life) {
        return undefined;
      }
      const to = this.beatTo ?? controls[at % controls.length];
      if (this.isCut?.('out', to)) {
        await sleep(1000);
        this.beatTo = undefined;
        continue;
      }
      const res = await send('PUT', to, `/v1/instances/${this.id}`, {
        body,
        timeoutMs: 1000,
      });
      if (res.status >= 200 && res.status < 300) {
        this.beatTo = res.json?.heartbeatAddr;
        return to;
      }
      this.beatTo = undefined;
    }
    return undefined;
  }

  async beatLoop(life) {
    while (this.life === life) {
      await this.beat();
      await sleep(BOUNDS.heartbeatMs * (0.9 + 0.2 * Math.random()));
    }
  }

  /** Reports that it leaves, serves on for drainMs and longer, and ends. */
  async drainAndLeave(extraMs = 500) {
    this.state = 'draining';
    let to;
    for (let n = 0; n < 5 && to === undefined; n++) {
      to = await this.beat();
    }
    if (to !== undefined) {
      this.onEvent('drainAck', {runner: this.id, by: to});
    }
    await sleep(BOUNDS.drainMs + extraMs);
    const controls = this.controls();
    if (controls.length > 0) {
      await send(
        'DELETE',
        controls[Math.floor(Math.random() * controls.length)],
        `/v1/instances/${this.id}`,
        {timeoutMs: 1000},
      );
    }
    await this.crash();
  }

  handle(req, res) {
    const chunks = [];
    const {life} = this;
    req.on('error', () => {});
    res.on('error', () => {});
    req.on('data', c => chunks.push(c));
    req.on('end', () => {
      if (this.life !== life || this.isFrozen) {
        return;
      }
      const body = JSON.parse(Buffer.concat(chunks).toString());
      const call = {
        path: req.url,
        body,
        instance: req.headers['x-expected-instance'],
        from: req.socket.remoteAddress,
      };
      const fate = this.fateOf?.(call) ?? 'normal';
      const answer = result => {
        if (this.life === life && !res.destroyed) {
          const text = JSON.stringify(result.body);
          res.writeHead(result.status, {
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(text),
          });
          res.end(text);
        }
      };
      if (fate === 'normal') {
        this.execute(call, answer);
      } else if (fate === 'answerLost') {
        this.execute(call, () => req.socket.destroy());
      } else if (fate === 'dropped') {
        req.socket.destroy();
      } else if (fate.beforeMs !== undefined) {
        setTimeout(
          () => this.life === life && this.execute(call, answer),
          fate.beforeMs,
        );
      } else if (fate.afterMs !== undefined) {
        this.execute(call, result =>
          setTimeout(() => answer(result), fate.afterMs),
        );
      } else if (fate.lateMs !== undefined) {
        // Carried out late; no answer.
        setTimeout(() => {
          if (this.life === life) {
            this.execute({...call, isLate: true}, () => req.socket.destroy());
          }
        }, fate.lateMs);
      }
    });
  }

  execute({path, body, instance, isLate}, answer) {
    if (instance !== undefined && instance !== this.id) {
      answer({status: 421, body: {clockMs: this.clock()}});
      return;
    }
    const reject = (status, reason) =>
      answer({status, body: {clockMs: this.clock(), born: this.born, reason}});
    const token = body.fencingToken ?? 0;
    if (token < this.fence) {
      reject(409, 'fence');
      return;
    }
    this.fence = token;
    switch (path) {
      case '/v1/run-start':
        this.startRun(body, isLate, answer, reject);
        return;
      case '/v1/run-stop':
        this.stopRun(body);
        answer({status: 200, body: {clockMs: this.clock(), born: this.born}});
        return;
      case '/v1/hold':
        this.hold(body, answer);
        return;
      default:
        answer({status: 404, body: {}});
    }
  }

  extendLease(expiresAtMs) {
    if (typeof expiresAtMs === 'number') {
      this.leaseEnd = Math.max(
        this.leaseEnd,
        Math.min(expiresAtMs, this.clock() + BOUNDS.maxHoldMs),
      );
      this.armLease();
    }
  }

  armLease() {
    clearTimeout(this.leaseTimer);
    if (this.running.size > 0) {
      this.leaseTimer = setTimeout(
        () => {
          if (this.clock() >= this.leaseEnd) {
            [...this.running.keys()].forEach(task => this.end(task, 'lapsed'));
          } else {
            this.armLease();
          }
        },
        Math.max(1, (this.leaseEnd - this.clock()) / (1 - this.driftShare)),
      );
    }
  }

  startRun(body, isLate, answer, reject) {
    const {task, run, spec, expiresAtMs} = body;
    const present = this.running.get(task);
    const ok = () =>
      answer({status: 200, body: {clockMs: this.clock(), born: this.born}});
    if (present?.run === run) {
      this.extendLease(expiresAtMs);
      ok();
      return;
    }
    if ((this.closedRuns.get(task) ?? 0) >= run || present) {
      this.extendLease(expiresAtMs);
      reject(409, 'old');
      return;
    }
    if (expiresAtMs <= this.clock()) {
      reject(409, 'late');
      return;
    }
    const needs = this.needsOf(task);
    this.extendLease(expiresAtMs);
    const isOver = this.isOver(needs);
    if (this.guards && isOver) {
      reject(409, 'room');
      return;
    }
    const r = {run, spec, needs, startedMs: performance.now()};
    this.running.set(task, r);
    this.onEvent('start', {
      runner: this.id,
      task,
      run,
      spec,
      isOver,
      isLate: isLate === true,
      token: body.fencingToken,
    });
    r.timer = setTimeout(
      () => this.end(task, this.endOf?.(task, run) ?? 'done'),
      this.workMs(task, this),
    );
    this.armLease();
    ok();
  }

  isOver(needs) {
    const sum = {
      cpu: needs.cpu ?? 0,
      memMb: needs.memMb ?? 0,
      gpu: needs.gpu ?? 0,
    };
    for (const {needs: n} of this.running.values()) {
      sum.cpu += n.cpu ?? 0;
      sum.memMb += n.memMb ?? 0;
      sum.gpu += n.gpu ?? 0;
    }
    return (
      sum.cpu > this.capacity.cpu ||
      sum.memMb > this.capacity.memMb ||
      sum.gpu > this.capacity.gpu
    );
  }

  stopRun({task, run}) {
    this.closedRuns.set(task, Math.max(run, this.closedRuns.get(task) ?? 0));
    const r = this.running.get(task);
    if (r && r.run <= run && !r.isStopping) {
      r.isStopping = true;
      clearTimeout(r.timer);
      r.timer = setTimeout(
        () => this.end(task, 'stopped'),
        BOUNDS.stopMs * (0.3 + 0.6 * Math.random()),
      );
    }
  }

  end(task, how) {
    const r = this.running.get(task);
    if (!r) {
      return;
    }
    clearTimeout(r.timer);
    this.running.delete(task);
    this.closedRuns.set(task, Math.max(r.run, this.closedRuns.get(task) ?? 0));
    this.ended.push([this.nextEnd++, task, r.run, how, '']);
    this.onEvent('end', {runner: this.id, task, run: r.run, how});
    const waiters = [...this.waiters];
    this.waiters.clear();
    waiters.forEach(w => w());
  }

  hold({seenUpto = 0, expiresAtMs, waitMs = 0}, answer) {
    this.extendLease(expiresAtMs);
    this.ended = this.ended.filter(([n]) => n > seenUpto);
    const {life} = this;
    const reply = () => {
      clearTimeout(timer);
      this.waiters.delete(reply);
      if (this.life === life) {
        answer({
          status: 200,
          body: {
            clockMs: this.clock(),
            born: this.born,
            running: [...this.running].map(([task, r]) => [
              task,
              r.run,
              '',
              50,
              0,
            ]),
            ended: this.ended.slice(0, 500),
          },
        });
      }
    };
    let timer;
    if (waitMs > 0 && this.ended.length === 0) {
      timer = setTimeout(reply, Math.min(2000, waitMs));
      this.waiters.add(reply);
    } else {
      reply();
    }
  }
}
