import {dirname, join} from 'node:path';
import {env, exit, stderr, stdout} from 'node:process';
import {fileURLToPath} from 'node:url';
import {CONFIGURATION, Deployment, sleep} from '../lib-2/deployment.mjs';
import {History} from '../lib-2/history.mjs';
import {sendJson} from '../lib-2/http.mjs';
import {Runner} from '../lib-2/runner.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
const hasTrouble = env.TROUBLE !== '0';
const RUNNERS_PER_ZONE = 4;
const JOBS = 8;
const JOB_INTERVAL_MS = 1_500;
/** Within the range of the site's `reclassifica`, which reaches 3.6 s. */
const RUN_MS = 2_000;
const DEADLINE_MS = 6_000;
const RESEND_MS = 1_300;
/** Time after which the connections of the first two requests break. */
const BREAK_MS = 300;
/** Times after the 200 at which the copies of the second and third request arrive. */
const LATE_MS = [2_000, 2_500];

const history = new History();
const deployment = await Deployment.create();
const runners = [];
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
        onEvent: event => history.add(event),
      });
      runner.startHeartbeats();
      runners.push(runner);
    }
  }
  await deployment.ready();
  await sleep(4_000);
  const jobs = [];
  for (let n = 0; n < JOBS; n++) {
    jobs.push(sendJob(n));
    await sleep(JOB_INTERVAL_MS);
  }
  exitCode = await judge(await Promise.all(jobs));
} catch (err) {
  stderr.write(`${err.stack}\n`);
} finally {
  runners.forEach(runner => runner.close());
  await deployment.stop();
}
exit(exitCode);

/** A job whose first two connections break, and whose requests arrive late once more. */
async function sendJob(n) {
  const id = (0x10_0000 + n).toString(16).padStart(16, '0');
  const entriesOf = zone =>
    deployment.entries.filter(entry => entry.zone === zone);
  const [first, second] = entriesOf('centro');
  await send(id, first, BREAK_MS, 'sent');
  await sleep(RESEND_MS);
  await send(id, second, BREAK_MS, 'sent again');
  await sleep(RESEND_MS);
  const status = await send(id, first, DEADLINE_MS, 'sent again');
  if (hasTrouble && status === 200) {
    const zones = ['serra', 'ribeira'];
    await Promise.all(
      LATE_MS.map(async (ms, i) => {
        await sleep(ms);
        await send(id, entriesOf(zones[i])[n % 2], DEADLINE_MS, 'arrives late');
      }),
    );
  }
  return status;
}

async function send(id, entry, timeoutMs, what) {
  const body = {
    spec: JSON.stringify({cpu: 14_000, runMs: RUN_MS}),
    bestEffort: true,
    steps: [{count: 1, cpu: 14_000, memMb: 64, estimateMs: RUN_MS}],
  };
  history.add({what, job: id, entry: entry.name});
  const res = await sendJson(
    'POST',
    deployment.callers(entry),
    `/x/${id}`,
    body,
    {
      headers: {host: 'a.example', 'x-deadline-ms': String(DEADLINE_MS)},
      timeoutMs,
      ownConnection: true,
    },
  );
  history.add({
    what: res.status === 0 ? 'connection broke' : 'answered',
    job: id,
    entry: entry.name,
    status: res.status,
    state: res.json.state ?? res.json.reason ?? '',
  });
  return res.status;
}

async function judge(statuses) {
  const overlaps = history.overlaps();
  const served = statuses.filter(status => status === 200).length;
  const lines = [
    `trouble: ${hasTrouble}`,
    `jobs: ${statuses.length}, answered 200: ${served}`,
    `tasks with two runs at the same time: ${overlaps.length}`,
    ...overlaps.map(
      ({task, first, second}) =>
        `TWICE ${task}: run ${first.run} on ${first.runner} since ${first.atMs} ms, run ${second.run} on ${second.runner} from ${second.atMs} ms`,
    ),
  ];
  stdout.write(`${lines.join('\n')}\n`);
  await history.write(join(folder, 'record.txt'), lines);
  if (overlaps.length > 0) {
    return 1;
  }
  return served < statuses.length / 2 ? 2 : 0;
}
