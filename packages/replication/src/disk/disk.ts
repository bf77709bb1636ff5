/**
 * Durable files of a replica. A change survives a crash once its promise
 * resolves.
 */
export interface Disk {
  /** Reads a whole file; returns undefined when it does not exist. */
  read(name: string): Promise<Uint8Array | undefined>;
  /** Appends bytes and syncs them. */
  append(name: string, bytes: Uint8Array): Promise<void>;
  /** Truncates the file to a size in bytes and syncs it. */
  truncate(name: string, size: number): Promise<void>;
  /** Atomically replaces the file: a failure leaves the previous content. */
  replace(name: string, bytes: Uint8Array): Promise<void>;
  close(): Promise<void>;
}
