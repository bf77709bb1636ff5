/**
 * Value of a name in a release.
 */
export interface ReleaseEntry {
  readonly value: unknown;
  /** Release that added the name, anew after a withdrawal. */
  readonly since: number;
}
