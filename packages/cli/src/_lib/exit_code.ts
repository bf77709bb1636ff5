/**
 * Exit codes of the command line.
 */
export const EXIT_CODE = {
  ok: 0,
  /** Nothing was sent, or an error that says nothing about the request. */
  failed: 1,
  /** Wrong arguments or settings. */
  usage: 2,
  /** Refused; certainly not run. */
  notRun: 3,
  /** Failed; may have run. */
  mayHaveRun: 4,
  /** Ran, and the target answered with an error status. */
  ranWithError: 5,
} as const;
