import {readFile, writeFile} from 'node:fs/promises';
import {renderCapacity} from './render_capacity.js';
import type {SlopesDocument} from './slopes_document.js';

const SLOPES_PATH = 'docs/slopes.json';
const PAGE_PATH = 'docs/CAPACITY.md';

/** Writes the capacity page from the slopes in the slopes file. */
async function main(): Promise<void> {
  const doc = JSON.parse(await readFile(SLOPES_PATH, 'utf8')) as SlopesDocument;
  await writeFile(PAGE_PATH, renderCapacity(doc));
  process.stdout.write(`wrote ${PAGE_PATH}\n`);
}

await main();
