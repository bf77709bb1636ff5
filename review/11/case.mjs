/* global process */
// Another writer sends heartbeats in which one field is of another type: `labels`
// is a list of numbers. Each goes to one state instance, and the next one to the
// next, as its writer gets no acknowledgement.
import {join} from 'node:path';
import {Judge} from '../stand_ins_3/judge.mjs';
import {finishCase, startDeployment} from '../stand_ins_3/deployment.mjs';
import {send, sleep} from '../stand_ins_3/system.mjs';

const IS_TROUBLE = process.env.TROUBLE !== '0';
const LABELS = IS_TROUBLE ? 1500000 : 3;
const MAX_BYTES = 4 * 1024 * 1024;
const HEARTBEATS = 12;
const TIMES = 3;
// The core is stable again before the next heartbeat, with contactMs to spare.
const PAUSE_MS = 5000;
const ROUTE = {name: 'jobs', pathPrefix: '/jobs/'};

const judge = new Judge(join(import.meta.dirname, 'record.txt'));
const {sys, runners} = await startDeployment(judge, [ROUTE]);
const body = JSON.stringify({
  ...runners[0].report(),
  address: '127.0.0.9:9',
  labels: 0,
}).replace('"labels":0', `"labels":[${'1,'.repeat(LABELS - 1)}1]`);
judge.log('heartbeat', {
  bytes: body.length,
  labels: LABELS,
  start: body.slice(0, 250),
});
if (body.length > MAX_BYTES) {
  await sys.stop();
  process.exit(2);
}
const ownEnds = m => m.exits.filter(e => !e.wasExpected).length;
const isBroken = () =>
  sys.states().filter(m => ownEnds(m) >= TIMES).length * 2 >=
  sys.states().length;
for (let n = 0; n < HEARTBEATS && !isBroken(); n++) {
  const m = sys.states()[n % sys.states().length];
  const res = await send('PUT', m.control, '/v1/instances/i-other', {
    body,
    timeoutMs: 1000,
  });
  judge.log('heartbeatAnswer', {
    n,
    at: m.name,
    status: res.status,
    error: res.error,
    field: res.json?.field,
  });
  if (res.status >= 200 && res.status < 300) {
    judge.log('acknowledged', {n});
  }
  await sleep(PAUSE_MS);
}
const ended = sys
  .states()
  .map(m => ({machine: m.name, byItself: m.exits.filter(e => !e.wasExpected)}));
judge.log('endedByThemselves', ended);
if (isBroken()) {
  judge.breaks('Fault', {
    machines: ended.map(m => ({
      machine: m.machine,
      times: m.byItself.length,
      how: m.byItself[0],
    })),
  });
}
await finishCase(judge, sys);
