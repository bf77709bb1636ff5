import VError from 'verror';
import type {SettingsProblem} from '../settings/settings_problem.js';

/**
 * Settings that can't be used, with all their problems.
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
   * Makes the error.
   *
   * @param problems - What is wrong, at least one problem.
   * @returns The error.
   * @example
   * throw SettingsError.create([{path: '$', value: '1', expected: 'an object'}]);
   */
  static create(problems: readonly SettingsProblem[]): SettingsError {
    return new SettingsError(problems);
  }
}
