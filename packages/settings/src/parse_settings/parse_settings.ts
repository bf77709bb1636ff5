import {settingsSchema} from '../schema/settings_schema.js';
import {SettingsError} from '../settings_error/settings_error.js';
import type {Settings} from '../settings/settings.js';
import {formatPath} from '../_lib/format_path.js';
import {formatValueAt} from '../_lib/format_value_at.js';

/**
 * Parses and validates the text of a settings file.
 *
 * @param text - JSON text.
 * @returns Validated settings, with defaults for all omitted fields.
 * @throws SettingsError that lists every problem with its JSON path.
 * @example
 * const cfg = parseSettings(await readFile('centro-1.json', 'utf8'));
 */
export function parseSettings(text: string): Settings {
  let document: unknown;
  try {
    document = JSON.parse(text);
  } catch (err) {
    throw SettingsError.create([
      {path: '$', value: 'text', expected: `JSON (${(err as Error).message})`},
    ]);
  }
  const result = settingsSchema.safeParse(document, {reportInput: true});
  if (result.success) {
    return result.data;
  }
  throw SettingsError.create(
    result.error.issues.map(issue => ({
      path: formatPath(issue.path),
      value: formatValueAt(document, issue.path),
      expected: issue.message,
    })),
  );
}
