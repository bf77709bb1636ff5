import type {LogEntry} from '@papayarun/protocol';

/**
 * Takes entries from the front while their commands fit into a number of bytes.
 *
 * @param entries - Entries in order.
 * @param maxBytes - Limit of the sum of the commands' sizes.
 * @returns The first entries; at least one if there is any, however large it is.
 * @throws Never.
 * @example
 * firstEntriesWithin(log.slice(1, 128), 1_048_576);
 */
export function firstEntriesWithin(
  entries: readonly LogEntry[],
  maxBytes: number,
): LogEntry[] {
  let bytes = 0;
  const end = entries.findIndex((entry, n) => {
    bytes += entry.kind === 'command' ? entry.command.byteLength : 0;
    return n > 0 && bytes > maxBytes;
  });
  return entries.slice(0, end < 0 ? entries.length : end);
}
