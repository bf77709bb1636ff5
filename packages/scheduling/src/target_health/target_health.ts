/**
 * Health of a target, from the results of its runs.
 *
 * @description `sound`: the last run succeeded. `suspect`: the last run failed,
 * or an ejection is over; the target gets one run at a time. `ejected`: too
 * many runs failed in a row; the target gets no runs until a time has passed.
 */
export type TargetHealth =
  | {readonly kind: 'sound'}
  | {readonly kind: 'suspect'; readonly failures: number}
  | {
      readonly kind: 'ejected';
      readonly failures: number;
      /** Monotonic time at which the ejection ends, in milliseconds. */
      readonly untilMs: number;
    };
