import {dirname, join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {env, exit, stderr, stdout} from 'node:process';
import {fileURLToPath} from 'node:url';
import {CONFIGURATION, Deployment, sleep} from '../lib-2/deployment.mjs';
import {History} from '../lib-2/history.mjs';
import {sendJson} from '../lib-2/http.mjs';
import {Runner} from '../lib-2/runner.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
const hasTrouble = env.TROUBLE !== '0';
const RUNNERS_PER_ZONE = 4;
const RUN_MS = 60;
const JOB_INTERVAL_MS = 100;
const TRAFFIC_MS = 60_000;
const LARGE_JOB_AT_MS = 3_000;
const DEADLINE_MS = 6_000;
const RESEND_MS = 1_300;
/** Delay after which the platform restarts a process that has ended. */
const RESTART_MS = 500;
/** RULES.md, Fault: on two machines at least, three times. */
const MACHINES = 2;
const ENDS = 3;

const history = new History();
const deployment = await Deployment.create();
const entries = deployment.entries.filter(({zone}) => zone === 'centro');
const runners = [];
const ends = new Map();
let isOver = false;
let exitCode = 2;
try {
  await deployment.configure(CONFIGURATION);
  for (const zone of deployment.zones) {
    for (let n = 0; n < RUNNERS_PER_ZONE; n++) {
      const runner = await Runner.create({
        id: `i-${zone}-${n}`,
        host: '127.0.0.1',
        zone,
        service: 'falhas',
        controls: deployment.controls,
        controlOffset: n,
      });
      runner.startHeartbeats();
      runners.push(runner);
    }
  }
  await deployment.ready();
  await sleep(4_000);
  [...deployment.states, ...deployment.entries].forEach(
    node => void keepRunning(node),
  );
  const [answers] = await Promise.all([sendTraffic(), sendLargeJob()]);
  isOver = true;
  exitCode = await judge(answers);
} catch (err) {
  stderr.write(`${err.stack}\n`);
} finally {
  isOver = true;
  runners.forEach(runner => runner.close());
  await deployment.stop();
}
exit(exitCode);

/** The platform: restarts a process that has ended by itself. */
async function keepRunning(node) {
  while (!isOver) {
    const {code, signal} = await node.exited;
    if (isOver) {
      return;
    }
    ends.set(node.name, (ends.get(node.name) ?? 0) + 1);
    history.add({
      what: 'process ended by itself',
      node: node.name,
      code,
      signal,
      times: ends.get(node.name),
    });
    await sleep(RESTART_MS);
    if (!isOver) {
      await deployment.start(node);
    }
  }
}

/** Ordinary jobs of one task. */
async function sendTraffic() {
  const jobs = [];
  const endMs = performance.now() + TRAFFIC_MS;
  for (let n = 0; performance.now() < endMs; n++) {
    const id = (0x700000 + n).toString(16).padStart(16, '0');
    const body = {
      spec: JSON.stringify({cpu: 14_000, runMs: RUN_MS}),
      bestEffort: true,
      steps: [{count: 1, cpu: 14_000, memMb: 64, estimateMs: RUN_MS}],
    };
    jobs.push(send(id, body, entries[n % entries.length], n % 20 === 0));
    await sleep(JOB_INTERVAL_MS);
  }
  return Promise.all(jobs);
}

/** One job that can never be done, sent again as PROTOCOL.md has it. */
async function sendLargeJob() {
  await sleep(LARGE_JOB_AT_MS);
  if (!hasTrouble) {
    return;
  }
  const id = 'f00000000000000d';
  const body = {
    spec: '{}',
    bestEffort: true,
    steps: Array.from({length: 50}, () => ({
      count: 10_000,
      cpu: 14_000,
      memMb: 64,
      estimateMs: RUN_MS,
    })),
  };
  const endMs = performance.now() + TRAFFIC_MS - LARGE_JOB_AT_MS - DEADLINE_MS;
  for (let n = 0; performance.now() < endMs; n++) {
    const status = await send(id, body, entries[n % entries.length], true);
    if (![0, 502, 504].includes(status)) {
      return;
    }
    await sleep(RESEND_MS);
  }
}

async function send(id, body, entry, isLogged) {
  if (isLogged) {
    history.add({
      what: 'sent',
      job: id,
      entry: entry.name,
      bytes: JSON.stringify(body).length,
    });
  }
  const res = await sendJson(
    'POST',
    deployment.callers(entry),
    `/x/${id}`,
    body,
    {
      headers: {host: 'a.example', 'x-deadline-ms': String(DEADLINE_MS)},
      timeoutMs: DEADLINE_MS,
      ownConnection: true,
    },
  );
  if (isLogged || res.status === 0) {
    history.add({
      what: 'answered',
      job: id,
      status: res.status,
      state:
        res.json.state ??
        res.json.reason ??
        res.json.message ??
        res.reason ??
        '',
    });
  }
  return res.status;
}

async function judge(statuses) {
  const served = statuses.filter(status => status === 200).length;
  const unanswered = statuses.filter(status => status === 0).length;
  const broken = [...ends].filter(([, times]) => times >= ENDS);
  const lines = [
    `trouble: ${hasTrouble}`,
    `ordinary jobs: ${statuses.length}, answered 200: ${served}, without an answer: ${unanswered}`,
    `processes that ended by themselves: ${[...ends].map(([name, times]) => `${name} ${times} times`).join(', ') || 'none'}`,
    `machines with ${ENDS} ends or more: ${broken.length}`,
  ];
  stdout.write(`${lines.join('\n')}\n`);
  await history.write(join(folder, 'record.txt'), lines);
  if (broken.length >= MACHINES) {
    return 1;
  }
  return served < statuses.length / 2 ? 2 : 0;
}
