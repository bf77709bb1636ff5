/**
 * Fault of a simulation.
 *
 * @description `lostAnswers` and `lateOrders` concern a share of the orders to
 * all targets; `cut`, `crash` and `restart` concern a target of a data centre,
 * or all that it began with; `handOver` and `kill` its scheduler.
 */
export type SimulatedFault =
  | {
      readonly kind: 'lostAnswers' | 'lateOrders';
      readonly atMs: number;
      readonly forMs: number;
      readonly share: number;
    }
  | {
      readonly kind: 'cut';
      readonly atMs: number;
      readonly forMs: number;
      readonly centre: number;
      /** Index of the target; undefined for all. */
      readonly target: number | undefined;
    }
  | {
      readonly kind: 'crash';
      readonly atMs: number;
      readonly centre: number;
      readonly target: number;
    }
  | {
      readonly kind: 'restart';
      readonly atMs: number;
      readonly centre: number;
      readonly target: number;
      /** Time until the first report of the new incarnation, in milliseconds. */
      readonly reportAfterMs: number;
    }
  | {
      readonly kind: 'replace';
      readonly atMs: number;
      readonly centre: number;
      /** Time until the former scheduler ends, in milliseconds. */
      readonly endsAfterMs: number;
      /** Whether the former scheduler hears no answer meanwhile. */
      readonly isDeaf: boolean;
      /** Target that the successor can't reach meanwhile, if there is one. */
      readonly unreachable: number | undefined;
    }
  | {
      readonly kind: 'handOver' | 'kill';
      readonly atMs: number;
      readonly centre: number;
      /** Time until the successor begins, in milliseconds. */
      readonly gapMs: number;
    };
