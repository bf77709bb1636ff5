/**
 * Exit codes of the command-line interface.
 */
export const EXIT_CODE = {
  ok: 0,
  /**
   * Nothing was sent, or the error does not show whether the request was run.
   */
  failed: 1,
  /** Invalid arguments or settings. */
  usage: 2,
  /** The request was rejected and was definitely not run. */
  notRun: 3,
  /** The request failed and may have been run. */
  mayHaveRun: 4,
  /** The request was run, and the target responded with an error status. */
  ranWithError: 5,
} as const;
