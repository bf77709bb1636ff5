import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {runCase} from '../lib/case.mjs';
import {jobOf, submit} from '../lib/client.mjs';
import {sleep} from '../lib/deployment.mjs';
import {overlaps} from '../lib/twice.mjs';

const RUNNERS = [1, 2, 3, 4, 5, 6, 7].map(n => `i-${n}`);
const ROUNDS = 14;
const DOWN_MS = 100;
/** The servers of the bench sent their first report 0.25 to 0.6 s after a crash. */
const FIRST_REPORT_MS = 400;
/** Time from the start of the runner's process until the job is sent. */
const JOB_AFTER_MS = 250;
const TASK_MS = 900;
const REST_MS = 2_500;

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({deployment, record, trouble}) => {
    deployment.startStates();
    deployment.startEntry('edge-1', 'centro');
    deployment.startEntry('edge-2', 'centro');
    RUNNERS.forEach(id => deployment.startRunner(id, 'centro'));
    await deployment.configure(3);
    await deployment.ready();
    const nodes = ['edge-1', 'edge-2'].map(name => deployment.callersOf(name));
    const job = jobOf({tasks: 2, cores: 14, ms: TASK_MS});
    for (let i = 0; i < ROUNDS; i++) {
      if (trouble) {
        const id = RUNNERS[i % RUNNERS.length];
        await deployment.kill(id);
        await sleep(DOWN_MS);
        deployment.startRunner(id, 'centro', {firstReportMs: FIRST_REPORT_MS});
      }
      await sleep(JOB_AFTER_MS);
      const order = i % 2 === 0 ? nodes : [...nodes].reverse();
      await submit(record, order, job);
      await sleep(REST_MS);
    }
  },
  overlaps,
);
