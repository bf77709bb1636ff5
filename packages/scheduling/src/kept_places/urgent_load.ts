/**
 * How much of the places is asked for.
 */
export interface UrgentLoad {
  /** Places that more urgent work keeps busy on average. */
  readonly busyAbove: number;
  /** Places that all work keeps busy on average. */
  readonly busy: number;
  /** Places that there are. */
  readonly room: number;
}
