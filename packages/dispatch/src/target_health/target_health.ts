/**
 * How a target has done lately.
 */
export type TargetHealth =
  | {
      readonly kind: 'healthy';
      readonly failuresInRow: number;
      /** Moving failure rate, 0 to 1. */
      readonly failureRate: number;
      readonly ejections: number;
    }
  | {
      readonly kind: 'ejected';
      /** Monotonic time it may be tried again at, in milliseconds. */
      readonly untilMs: number;
      readonly ejections: number;
    }
  | {
      readonly kind: 'probation';
      readonly successesInRow: number;
      readonly ejections: number;
    };
