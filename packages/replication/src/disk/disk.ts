/**
 * Files of a replica; every change lasts once its promise resolves.
 */
export interface Disk {
  /** Whole file, or undefined when there is none. */
  read(name: string): Promise<Uint8Array | undefined>;
  /** Adds bytes at the end and syncs them. */
  append(name: string, bytes: Uint8Array): Promise<void>;
  /** Cuts the file to a size and syncs it. */
  truncate(name: string, size: number): Promise<void>;
  /** Puts a whole new file in place of the old one, or leaves the old one. */
  replace(name: string, bytes: Uint8Array): Promise<void>;
  close(): Promise<void>;
}
