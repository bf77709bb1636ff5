/**
 * Result of a configuration check about one field or entry.
 */
export interface ConfigurationFinding {
  /**
   * `error`: the configuration would be refused or not take effect; `warning`: an
   * entry has no effect, or values contradict each other; `change`: a difference
   * from the configuration in force.
   */
  readonly severity: 'error' | 'warning' | 'change';
  /** Keys and indices from the root of the configuration. */
  readonly path: ReadonlyArray<string | number>;
  readonly message: string;
}
