import {join} from 'node:path';
import process from 'node:process';
import {setTimeout} from 'node:timers';
import {Deployment} from './deployment.mjs';
import {Record} from './record.mjs';

const LIMIT_MS = 110_000;
const anyAnswered = record =>
  record.of('answered').some(({status}) => status === 200);

/**
 * Plays a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if
 * the case couldn't run.
 *
 * @param play - Plays the case with `{deployment, record, trouble}`.
 * @param check - Returns the breaks of the rule in words.
 * @param hasServed - Whether the system worked at all; without that, no break
 *   means that the case couldn't run.
 */
export async function runCase(folder, play, check, hasServed = anyAnswered) {
  const record = new Record(join(folder, 'record.txt'));
  const trouble = process.env.TROUBLE !== '0';
  const deployment = new Deployment(record);
  let code = 2;
  let summary;
  try {
    const timeout = new Promise((_, reject) =>
      setTimeout(
        () => reject(new Error('the case took too long')),
        LIMIT_MS,
      ).unref(),
    );
    await Promise.race([play({deployment, record, trouble}), timeout]);
    const breaks = check(record);
    const answers = new Map();
    for (const {status} of record.of('answered')) {
      answers.set(status, (answers.get(status) ?? 0) + 1);
    }
    code = breaks.length > 0 ? 1 : hasServed(record) ? 0 : 2;
    summary = [
      `trouble: ${trouble}; exit code ${code}`,
      `answers by status: ${JSON.stringify(Object.fromEntries(answers))}`,
      `starts: ${record.of('started').length}`,
      `breaks of the rule: ${breaks.length}`,
      ...breaks,
    ];
  } catch (err) {
    summary = [`could not run: ${err.stack}`];
  }
  await deployment.stop();
  record.write(summary);
  process.stdout.write(`${summary.join('\n')}\n`);
  process.exit(code);
}
