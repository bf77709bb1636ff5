/**
 * Health of a target, derived from its latest results.
 */
export type TargetHealth =
  | {
      readonly kind: 'healthy';
      readonly failuresInRow: number;
      /** Exponential moving average of the failure rate, 0 to 1. */
      readonly failureRate: number;
      readonly ejections: number;
    }
  | {
      readonly kind: 'ejected';
      /** Monotonic time from which the target may be tried again, in milliseconds. */
      readonly untilMs: number;
      readonly ejections: number;
    }
  | {
      readonly kind: 'probation';
      readonly successesInRow: number;
      readonly ejections: number;
    };
