import {writeFile} from 'node:fs/promises';
import {membershipSlopes} from './membership_slopes.js';
import {workSlopes} from './work_slopes.js';

/** Measures all slopes and writes the file that the capacity page is made from. */
async function main(): Promise<void> {
  const path = process.argv[2] ?? 'docs/slopes.json';
  const work = await workSlopes();
  const membership = await membershipSlopes();
  const document = {node: process.version, membership, work};
  await writeFile(path, `${JSON.stringify(document, null, 2)}\n`);
  process.stdout.write(`wrote ${path}\n`);
}

await main();
