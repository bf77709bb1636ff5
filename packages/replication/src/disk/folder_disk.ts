import type {FileHandle} from 'node:fs/promises';
import {mkdir, open, readFile, rename, rm} from 'node:fs/promises';
import {join} from 'node:path';
import type {Disk} from './disk.js';

/**
 * Durable files in a directory of the file system.
 */
export class FolderDisk implements Disk {
  private readonly handles = new Map<string, FileHandle>();

  private constructor(private readonly directory: string) {}

  /**
   * Opens a directory and creates it when it does not exist.
   *
   * @param directory - Path of the directory.
   * @returns The disk.
   * @throws Error of the file system when the directory can't be created.
   * @example
   * const disk = await FolderDisk.create('/var/lib/papayarun');
   */
  static async create(directory: string): Promise<FolderDisk> {
    await mkdir(directory, {recursive: true});
    return new FolderDisk(directory);
  }

  async read(name: string): Promise<Uint8Array | undefined> {
    try {
      return await readFile(join(this.directory, name));
    } catch (err) {
      if ((err as NodeJS.ErrnoException).code === 'ENOENT') {
        return undefined;
      }
      throw err;
    }
  }

  async append(name: string, bytes: Uint8Array): Promise<void> {
    const handle = await this.appendHandle(name);
    await handle.appendFile(bytes);
    await handle.datasync();
  }

  async truncate(name: string, size: number): Promise<void> {
    const handle = await this.appendHandle(name);
    await handle.truncate(size);
    await handle.sync();
  }

  async replace(name: string, bytes: Uint8Array): Promise<void> {
    const temporary = join(this.directory, `${name}.new`);
    try {
      await writeSynced(temporary, bytes);
    } catch (err) {
      // Its part would keep room that appends need.
      await rm(temporary, {force: true});
      throw err;
    }
    await this.handles.get(name)?.close();
    this.handles.delete(name);
    await rename(temporary, join(this.directory, name));
    await this.syncDirectory();
  }

  async close(): Promise<void> {
    for (const handle of this.handles.values()) {
      await handle.close();
    }
    this.handles.clear();
  }

  private async appendHandle(name: string): Promise<FileHandle> {
    let handle = this.handles.get(name);
    if (!handle) {
      handle = await open(join(this.directory, name), 'a');
      this.handles.set(name, handle);
    }
    return handle;
  }

  private async syncDirectory(): Promise<void> {
    const handle = await open(this.directory, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }
}

async function writeSynced(path: string, bytes: Uint8Array): Promise<void> {
  const handle = await open(path, 'w');
  try {
    await handle.writeFile(bytes);
    await handle.sync();
  } finally {
    await handle.close();
  }
}
