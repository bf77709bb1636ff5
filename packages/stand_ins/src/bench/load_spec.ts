/**
 * Open-loop load of one kind of work.
 */
export interface LoadSpec {
  readonly kind: string;
  readonly callers: number;
  readonly urgency: number;
  /** Mean rate of the Poisson arrivals. */
  readonly arrivalsPerSecond: number;
  readonly minRunMs: number;
  readonly maxRunMs: number;
  readonly deadlineMs: number;
  readonly durationSeconds: number;
}
