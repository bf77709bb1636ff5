// Clients of jobs that need not be kept: a job without a clear answer is sent
// again, resendMs later, to any entry.
import {randomBytes} from 'node:crypto';
import {BOUNDS, send, sleep} from './system.mjs';

export const newId = () => randomBytes(8).toString('hex');

export async function runJob(
  job,
  {pick, host, prefix, judge, deadlineMs = 1500, maxAttempts = 3},
) {
  judge.addJob(job);
  const body = {spec: job.spec, steps: job.steps, bestEffort: true};
  for (let attempt = 1; attempt <= maxAttempts; attempt++) {
    const entry = pick(attempt, job);
    judge.log('send', {id: job.id, attempt, to: entry.name});
    const res = await send('POST', entry.front, prefix + job.id, {
      body,
      headers: {host, 'x-deadline-ms': String(deadlineMs)},
      timeoutMs: deadlineMs,
    });
    judge.onAnswer(job.id, attempt, res, entry.name);
    if (res.status !== 0 && res.status !== 502 && res.status !== 504) {
      return res;
    }
    if (attempt < maxAttempts) {
      await sleep(BOUNDS.resendMs);
    }
  }
  return undefined;
}

export async function cancelJob(
  job,
  {entry, host, prefix, judge, timeoutMs = 4000},
) {
  const res = await send('DELETE', entry.front, prefix + job.id, {
    headers: {host},
    timeoutMs,
  });
  judge.log('cancel', {id: job.id, at: entry.name, status: res.status});
  if ((res.status >= 200 && res.status < 300) || res.status === 410) {
    const record = judge.jobs.get(job.id);
    record.cancelAckMs ??= judge.now();
  }
  return res;
}
