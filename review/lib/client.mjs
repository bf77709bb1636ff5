import {HOST, PREFIX, sleep} from './deployment.mjs';
import {send} from './http.mjs';
import {RESEND_MS} from './settings.mjs';

const DONE = new Set([200, 429, 503]);
const MAX_TRIES = 3;
let count = 0;

/** A best-effort job of one step. */
export function jobOf({tasks, cores, ms}) {
  return {
    spec: JSON.stringify({ms, cores}),
    bestEffort: true,
    steps: [{count: tasks, cpu: cores * 1_000, memMb: 64, estimateMs: ms}],
  };
}

function nextJobId() {
  return (++count).toString(16).padStart(16, '0');
}

/**
 * Hands a job in, and again `resendMs` after no response, a broken connection, 502
 * or 504, at the next of the nodes.
 */
export async function submit(
  record,
  nodes,
  job,
  {deadlineMs = 4_000, leaveAfterMs} = {},
) {
  const id = nextJobId();
  for (let i = 0; i < MAX_TRIES; i++) {
    const timeoutMs =
      i === 0 && leaveAfterMs !== undefined ? leaveAfterMs : deadlineMs;
    const res = await submitOnce(
      record,
      nodes[i % nodes.length],
      id,
      job,
      deadlineMs,
      timeoutMs,
    );
    if (DONE.has(res.status) || (res.status >= 400 && res.status < 500)) {
      return {id, ...res};
    }
    await sleep(RESEND_MS);
  }
  return {id, status: 0};
}

/** Hands a job in at one node. */
async function submitOnce(record, node, id, job, deadlineMs, timeoutMs) {
  record.add({type: 'sent', job: id, node});
  const headers = {host: HOST, 'x-deadline-ms': String(deadlineMs)};
  const res = await send('POST', node, `${PREFIX}${id}`, {
    body: job,
    headers,
    timeoutMs,
  });
  record.add({
    type: 'answered',
    job: id,
    status: res.status,
    body: res.json,
    error: res.error,
  });
  return res;
}
