import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {runCase} from '../lib/case.mjs';
import {jobOf, submit} from '../lib/client.mjs';
import {sleep} from '../lib/deployment.mjs';
import {overlaps} from '../lib/twice.mjs';

const ROUNDS = 5;
const ROUND_MS = 9_000;
const FREEZE_AFTER_MS = 150;
const FREEZE_MS = 3_500;
const LEAVE_AFTER_MS = 300;
const TASK_MS = 3_000;
const DEADLINE_MS = 8_000;

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({deployment, record, trouble}) => {
    deployment.startStates();
    deployment.startEntry('edge-1', 'centro');
    deployment.startEntry('edge-2', 'centro');
    deployment.startEntry('edge-3', 'serra');
    [1, 2, 3].forEach(n => deployment.startRunner(`i-centro-${n}`, 'centro'));
    [1, 2, 3].forEach(n => deployment.startRunner(`i-serra-${n}`, 'serra'));
    await deployment.configure(3);
    await deployment.ready();
    const jobs = [];
    for (let i = 0; i < ROUNDS; i++) {
      const holder = record
        .of('log')
        .findLast(
          event =>
            event.eventName === 'schedulerBegun' &&
            event.dataCentre === 'centro',
        ).instance;
      const frozen = holder === 'edge-1' ? 'edge-2' : 'edge-1';
      const nodes = [frozen, 'edge-3'].map(name => deployment.callersOf(name));
      const options = {deadlineMs: DEADLINE_MS, leaveAfterMs: LEAVE_AFTER_MS};
      jobs.push(
        submit(
          record,
          nodes,
          jobOf({tasks: 2, cores: 14, ms: TASK_MS}),
          options,
        ),
      );
      await sleep(FREEZE_AFTER_MS);
      if (trouble) {
        deployment.signal(frozen, 'SIGSTOP');
        await sleep(FREEZE_MS);
        deployment.signal(frozen, 'SIGCONT');
      }
      await sleep(ROUND_MS - FREEZE_AFTER_MS - (trouble ? FREEZE_MS : 0));
    }
    await Promise.all(jobs);
  },
  overlaps,
);
