import VError from 'verror';
import type {SettingsProblem} from '../settings/settings_problem.js';

/**
 * Thrown when settings are invalid; lists all validation problems.
 */
export class SettingsError extends VError {
  private constructor(readonly problems: readonly SettingsProblem[]) {
    super(
      {name: 'SettingsError'},
      '%s',
      problems
        .map(p => `${p.path}: ${p.expected}; found ${p.value}`)
        .join('\n'),
    );
  }

  /**
   * Creates an error from the problems of a settings file.
   *
   * @param problems - Validation problems, at least one.
   * @returns The error.
   * @example
   * throw SettingsError.create([{path: '$', value: '1', expected: 'an object'}]);
   */
  static create(problems: readonly SettingsProblem[]): SettingsError {
    return new SettingsError(problems);
  }
}
