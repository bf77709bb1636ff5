/**
 * How much of the places is asked for.
 */
export interface SlotDemand {
  /** Places that more urgent work keeps busy on average. */
  readonly urgentSlots: number;
  /** Places that all work keeps busy on average. */
  readonly busySlots: number;
  /** Places that there are. */
  readonly totalSlots: number;
}
