import {readFile} from 'node:fs/promises';
import {SettingsError} from '../settings_error/settings_error.js';

/** Minimum length of a key, in characters. */
const MIN_KEY_LENGTH = 16;

/**
 * Reads a shared key from a file.
 *
 * @description Removes white space around the key. Error messages never contain
 * the key itself.
 * @param path - Path of the file.
 * @param settingPath - JSON path of the setting that names the file.
 * @returns The key.
 * @throws SettingsError when the file can't be read or the key is shorter than 16
 *   characters.
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
