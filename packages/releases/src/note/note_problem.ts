/**
 * One thing wrong with a release note.
 */
export interface NoteProblem {
  /** JSON path in the note. */
  readonly path: string;
  readonly message: string;
}
