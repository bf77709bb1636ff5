/**
 * Demand for slots, by more urgent work and by all work.
 */
export interface SlotDemand {
  /** Slots that more urgent work keeps busy on average. */
  readonly urgentSlots: number;
  /**
   * Slots that all work keeps busy on average; more than there are under
   * overload.
   */
  readonly busySlots: number;
  /** Number of slots, busy or free. */
  readonly totalSlots: number;
}
