/**
 * What a scheduler expected of a job when it decided on its admission.
 */
export interface Forecast {
  /** Time from the decision to the end of the last task, in milliseconds. */
  readonly endMs: number;
  /** Slots for its tasks that were free at the decision. */
  readonly freeSlots: number;
}
