/**
 * Validation error of a release note.
 */
export interface NoteProblem {
  /** JSON path of the invalid field in the note. */
  readonly path: string;
  readonly message: string;
}
