import type {FileHandle} from 'node:fs/promises';
import {mkdir, open, readFile, rename} from 'node:fs/promises';
import {join} from 'node:path';
import type {Disk} from './disk.js';

/**
 * Files in a folder of a real disk.
 */
export class FolderDisk implements Disk {
  private readonly handles = new Map<string, FileHandle>();

  private constructor(private readonly folder: string) {}

  /**
   * Opens a folder, making it if need be.
   *
   * @param folder - Path of the folder.
   * @returns The disk.
   * @throws Error of the file system when the folder can't be made.
   * @example
   * const disk = await FolderDisk.create('/var/lib/papayarun');
   */
  static async create(folder: string): Promise<FolderDisk> {
    await mkdir(folder, {recursive: true});
    return new FolderDisk(folder);
  }

  async read(name: string): Promise<Uint8Array | undefined> {
    try {
      return await readFile(join(this.folder, name));
    } catch (err) {
      if ((err as NodeJS.ErrnoException).code === 'ENOENT') {
        return undefined;
      }
      throw err;
    }
  }

  async append(name: string, bytes: Uint8Array): Promise<void> {
    const handle = await this.handleOf(name);
    await handle.appendFile(bytes);
    await handle.datasync();
  }

  async truncate(name: string, size: number): Promise<void> {
    const handle = await this.handleOf(name);
    await handle.truncate(size);
    await handle.sync();
  }

  async replace(name: string, bytes: Uint8Array): Promise<void> {
    const temporary = join(this.folder, `${name}.new`);
    const handle = await open(temporary, 'w');
    try {
      await handle.writeFile(bytes);
      await handle.sync();
    } finally {
      await handle.close();
    }
    await this.handles.get(name)?.close();
    this.handles.delete(name);
    await rename(temporary, join(this.folder, name));
    await this.syncFolder();
  }

  async close(): Promise<void> {
    for (const handle of this.handles.values()) {
      await handle.close();
    }
    this.handles.clear();
  }

  private async handleOf(name: string): Promise<FileHandle> {
    let handle = this.handles.get(name);
    if (!handle) {
      handle = await open(join(this.folder, name), 'a');
      this.handles.set(name, handle);
    }
    return handle;
  }

  private async syncFolder(): Promise<void> {
    const handle = await open(this.folder, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }
}
