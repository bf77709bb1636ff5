/**
 * One thing wrong in a settings file.
 */
export interface SettingsProblem {
  /** JSON path, `$.peers.members[0].port`. */
  readonly path: string;
  /** The value found there, as JSON; `absent` when there is none. */
  readonly value: string;
  /** What was expected. */
  readonly expected: string;
}
