/**
 * How far a target is trusted, from its own ends.
 *
 * @description `suspect`: its last run failed; one run at a time.
 * `ejected`: it failed again; nothing until a time has passed.
 */
export type TargetHealth =
  | {readonly kind: 'sound'}
  | {readonly kind: 'suspect'; readonly failures: number}
  | {
      readonly kind: 'ejected';
      readonly failures: number;
      /** Monotonic time from which it may be tried again, in milliseconds. */
      readonly untilMs: number;
    };
