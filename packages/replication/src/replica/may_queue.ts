import {APPEND_LIMITS} from './append_limits.js';

/** Most entries that wait for a write, however fast the disk is. */
const MAX_ENTRIES = 4_096;
/** Most bytes of commands that wait for a write. */
const MAX_BYTES = 16 * 1024 * 1024;
/**
 * Writes besides those of the entries that wait: the one in progress, that of a
 * follower, and that of the commit index.
 */
const OTHER_WRITES = 3;
/** Share of the timeout that the writes may take by the duration of the last one. */
const MAX_TIMEOUT_SHARE = 0.5;

/** Entries that wait for a write, with one that is added. */
export interface WriteQueueLoad {
  readonly entries: number;
  /** Size of their commands. */
  readonly bytes: number;
  /** Duration of the last write, or of a longer one in progress, in milliseconds. */
  readonly writeMs: number;
  /** Time in which an entry has to be committed, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Whether an entry may wait for its write, since it can be committed in time. What
 * goes into the next write always may: it costs no further one, and without a write
 * no shorter duration is ever seen.
 *
 * @param load - Entries that wait, the one in question among them.
 * @returns False if it has to be refused.
 * @throws Never.
 * @example
 * mayQueue({entries: 200, bytes: 9_000, writeMs: 75, timeoutMs: 2_500}); // true
 */
export function mayQueue(load: WriteQueueLoad): boolean {
  const {bytes, entries, timeoutMs, writeMs} = load;
  const writes = Math.max(
    Math.ceil(entries / APPEND_LIMITS.maxEntries),
    Math.ceil(bytes / APPEND_LIMITS.maxBytes),
  );
  const isInTime =
    (writes + OTHER_WRITES) * writeMs <= MAX_TIMEOUT_SHARE * timeoutMs;
  return (
    entries <= MAX_ENTRIES && bytes <= MAX_BYTES && (writes <= 1 || isInTime)
  );
}
