import {readFile} from 'node:fs/promises';
import {text} from 'node:stream/consumers';
import {UsageError} from './usage_error.js';

/**
 * Reads a file, or standard input when the path is `-`.
 *
 * @param path - Path of the file, or `-`.
 * @returns The text read.
 * @throws UsageError when the file can't be read.
 */
export async function readInput(path: string): Promise<string> {
  if (path === '-') {
    return text(process.stdin);
  }
  try {
    return await readFile(path, 'utf8');
  } catch (err) {
    throw UsageError.create(`cannot read ${path}: ${(err as Error).message}`);
  }
}
