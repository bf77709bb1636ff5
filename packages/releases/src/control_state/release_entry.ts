/**
 * Value of an entry of a release, or of a customer's choice for the entry.
 */
export interface ReleaseEntry {
  readonly value: unknown;
  /**
   * Release that added the entry. An entry that is added again after a
   * withdrawal gets the later release.
   */
  readonly since: number;
}
