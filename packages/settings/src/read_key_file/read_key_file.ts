import {readFile} from 'node:fs/promises';
import {SettingsError} from '../settings_error/settings_error.js';

/** Shortest key that is accepted, in characters. */
const MIN_KEY_LENGTH = 16;

/**
 * Reads a shared key from a file.
 *
 * @description White space around the key is dropped. The key itself never
 * appears in an error.
 * @param path - Path of the file.
 * @param settingPath - JSON path of the setting that names the file.
 * @returns The key.
 * @throws SettingsError when the file can't be read or the key is too short.
 * @example
 * const key = await readKeyFile('/etc/papayarun/peer.key', '$.peers.keyFile');
 */
export async function readKeyFile(
  path: string,
  settingPath: string,
): Promise<string> {
  let text: string;
  try {
    text = await readFile(path, 'utf8');
  } catch (err) {
    throw SettingsError.create([
      {
        path: settingPath,
        value: JSON.stringify(path),
        expected: `a readable file (${(err as Error).message})`,
      },
    ]);
  }
  const key = text.trim();
  if (key.length < MIN_KEY_LENGTH) {
    throw SettingsError.create([
      {
        path: settingPath,
        value: JSON.stringify(path),
        expected: `a key of at least ${MIN_KEY_LENGTH} characters in that file`,
      },
    ]);
  }
  return key;
}
