/**
 * Validation problem at one place in a settings file.
 */
export interface SettingsProblem {
  /** JSON path of the invalid value, for example `$.peers.members[0].port`. */
  readonly path: string;
  /** Value found at the path, as JSON, or `absent` when there is none. */
  readonly value: string;
  /** Description of the expected value. */
  readonly expected: string;
}
