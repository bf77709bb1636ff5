import {mkdtemp, readdir, rm, symlink} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {FolderDisk} from './folder_disk.js';

const NAME = 'release.journal';

describe('FolderDisk', () => {
  let directory: string;
  let disk: FolderDisk;

  beforeEach(async () => {
    directory = await mkdtemp(join(tmpdir(), 'papayarun-disk-'));
    disk = await FolderDisk.create(directory);
    await disk.replace(NAME, Buffer.from('first'));
  });

  afterEach(async () => {
    await disk.close();
    await rm(directory, {recursive: true});
  });

  // The part of a compaction that failed kept the room that the next appends need.
  it('leaves no part of a replacement for which the disk has no room', async () => {
    await symlink('/dev/full', join(directory, `${NAME}.new`));
    await expect(disk.replace(NAME, Buffer.from('second'))).rejects.toThrow(
      'ENOSPC',
    );
    expect(await readdir(directory)).toEqual([NAME]);
    await disk.append(NAME, Buffer.from(' and more'));
    expect(Buffer.from((await disk.read(NAME))!).toString()).toBe(
      'first and more',
    );
  });

  it('appends to the new content after a replacement', async () => {
    await disk.append(NAME, Buffer.from(' and more'));
    await disk.replace(NAME, Buffer.from('second'));
    await disk.append(NAME, Buffer.from(' and more'));
    expect(Buffer.from((await disk.read(NAME))!).toString()).toBe(
      'second and more',
    );
  });
});
