// A runner: runs tasks as "Running tasks" of PROTOCOL.md says and reports itself
// as "Service discovery" says. Writes each start and end to standard output.
// The duration of a task stands in its spec: {"ms": 300}.
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import process from 'node:process';
import {clearTimeout, setInterval, setTimeout} from 'node:timers';
import {send} from './http.mjs';
import {nowMs} from './record.mjs';
import {HEARTBEAT_MS, MAX_LEASE_MS} from './settings.mjs';

const {
  id,
  zone,
  service,
  address,
  cores,
  controls,
  firstReportMs,
  clockRate = 1,
} = JSON.parse(process.argv[2]);
const born = Date.now();
const bornMs = nowMs();
const clockMs = () => Math.floor((nowMs() - bornMs) * clockRate) + 1_000;
const running = new Map();
const highestRun = new Map();
const waiting = new Set();
let ended = [];
let endCount = 0;
let fence = 0;
let leaseEndMs = 0;
let sequence = 0;
let state = 'ready';

function emit(event) {
  process.stdout.write(
    `${JSON.stringify({atMs: nowMs(), runner: id, born, ...event})}\n`,
  );
}

function finish(task, how) {
  const entry = running.get(task);
  clearTimeout(entry.timer);
  running.delete(task);
  highestRun.set(task, Math.max(entry.run, highestRun.get(task) ?? 0));
  ended.push([++endCount, task, entry.run, how, '']);
  emit({type: 'ended', task, run: entry.run, how});
  waiting.forEach(wake => wake());
}

function expireLease() {
  if (clockMs() >= leaseEndMs) {
    [...running.keys()].forEach(task => finish(task, 'lapsed'));
  }
}
setInterval(expireLease, 1);

function extendLease(expiresAtMs) {
  if (expiresAtMs !== undefined) {
    leaseEndMs = Math.max(
      leaseEndMs,
      Math.min(expiresAtMs, clockMs() + MAX_LEASE_MS),
    );
  }
}

const rejection = reason => ({status: 409, json: {clockMs: clockMs(), reason}});
const acceptance = () => ({status: 200, json: {clockMs: clockMs()}});

function start({task, run, spec, expiresAtMs = 0}) {
  if (running.get(task)?.run === run) {
    return acceptance();
  }
  if (run <= (highestRun.get(task) ?? 0) || running.has(task)) {
    extendLease(expiresAtMs);
    return rejection('old');
  }
  if (expiresAtMs <= clockMs()) {
    return rejection('late');
  }
  extendLease(expiresAtMs);
  const needs = JSON.parse(spec).cores;
  const used = [...running.values()].reduce(
    (sum, entry) => sum + entry.needs,
    0,
  );
  if (used + needs > cores) {
    return rejection('room');
  }
  const timer = setTimeout(() => finish(task, 'done'), JSON.parse(spec).ms);
  running.set(task, {run, needs, timer});
  emit({type: 'started', task, run, spec});
  return acceptance();
}

function stop({task, run}) {
  highestRun.set(task, Math.max(run, highestRun.get(task) ?? 0));
  if (running.get(task)?.run === run) {
    finish(task, 'stopped');
  }
  return acceptance();
}

async function hold({seenUpto = 0, expiresAtMs, waitMs = 0}) {
  extendLease(expiresAtMs);
  ended = ended.filter(([number]) => number > seenUpto);
  if (ended.length === 0 && waitMs > 0) {
    await new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      waiting.add(wake);
    });
  }
  const rows = [...running].map(([task, {run}]) => [task, run, '', 50, 14_000]);
  return {
    status: 200,
    json: {clockMs: clockMs(), born, running: rows, ended: ended.slice(0, 500)},
  };
}

async function handle(req) {
  const chunks = [];
  for await (const chunk of req) {
    chunks.push(chunk);
  }
  if (req.headers['x-expected-instance'] !== id) {
    return {status: 421, json: {}};
  }
  const body = JSON.parse(Buffer.concat(chunks).toString('utf8'));
  const token = body.fencingToken ?? 0;
  if (token < fence) {
    return rejection('fence');
  }
  fence = token;
  switch (req.url) {
    case '/v1/run-start':
      return start(body);
    case '/v1/run-stop':
      return stop(body);
    case '/v1/hold':
      return hold(body);
    default:
      return {status: 404, json: {}};
  }
}

async function report() {
  const seq = ++sequence;
  const first = Math.floor(Math.random() * controls.length);
  for (let i = 0; i < controls.length; i++) {
    const res = await send(
      'PUT',
      controls[(first + i) % controls.length],
      `/v1/instances/${id}`,
      {
        body: {
          service,
          address,
          zone,
          version: 'v1',
          slots: 8,
          state,
          coldRemainingMs: 0,
          capacity: {cpu: cores * 1_000, memMb: 131_072, gpu: 0},
          labels: ['a', 'r1-1'],
          clockMs: clockMs(),
          born,
          seq,
        },
      },
    );
    if (res.status === 200) {
      emit({type: 'reported', state});
      return;
    }
  }
}

const [host, port] = address.split(':');
createServer((req, res) => {
  void handle(req).then(({status, json}) => {
    res.writeHead(status, {'content-type': 'application/json'});
    res.end(JSON.stringify(json));
  });
}).listen(Number(port), host, () => {
  emit({type: 'up'});
  setTimeout(() => {
    void report();
    setInterval(() => void report(), HEARTBEAT_MS);
  }, firstReportMs);
});
process.on('SIGUSR2', () => {
  state = 'draining';
  void report();
});
