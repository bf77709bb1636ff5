import {mkdtemp, open, readFile, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, expect, it} from 'vitest';
import {BoundedOutput} from './bounded_output.js';

const SETTLE_MS = 200;
/** Largest number of bytes that wait to be written. */
const MAX_PENDING_BYTES = 1024 * 1024;

describe('BoundedOutput', () => {
  it('writes the lines of the last moments when it is drained', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'papayarun-'));
    const path = join(folder, 'out');
    const handle = await open(path, 'w');
    const out = BoundedOutput.create(handle.fd, n => `dropped ${n}\n`);
    out.write('draining\n');
    out.write('stopped\n');
    await out.drain();
    expect(await readFile(path, 'utf8')).toBe('draining\nstopped\n');
    await handle.close();
    await rm(folder, {recursive: true});
  });

  it('limits the lines that wait by their bytes, not their characters', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'papayarun-'));
    const path = join(folder, 'out');
    const handle = await open(path, 'w');
    const out = BoundedOutput.create(handle.fd, n => `dropped ${n}\n`);
    const line = `${'湯'.repeat(1_023)}\n`;
    const maxLines = Math.floor(MAX_PENDING_BYTES / Buffer.byteLength(line));
    for (let i = 0; i < maxLines + 1; i++) {
      out.write(line);
    }
    await out.drain();
    out.write('later\n');
    await out.drain();
    const lines = (await readFile(path, 'utf8')).trim().split('\n');
    expect(lines).toHaveLength(maxLines + 2);
    expect(lines.slice(-2)).toEqual(['dropped 1', 'later']);
    await handle.close();
    await rm(folder, {recursive: true});
  });

  it('drops and counts the lines beyond the limit per second', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'papayarun-'));
    const path = join(folder, 'out');
    const handle = await open(path, 'w');
    const out = BoundedOutput.create(handle.fd, n => `dropped ${n}\n`);
    for (let i = 0; i < 1_500; i++) {
      out.write(`${i}\n`);
    }
    await new Promise(resolve => setTimeout(resolve, 1_000 + SETTLE_MS));
    out.write('later\n');
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
    const lines = (await readFile(path, 'utf8')).trim().split('\n');
    expect(lines).toHaveLength(1_002);
    expect(lines.slice(-2)).toEqual(['dropped 500', 'later']);
    await handle.close();
    await rm(folder, {recursive: true});
  });
});
