import type {Resources} from '@papayarun/protocol';

/** Capacity of a target that a waiting task will use. */
export interface Reservation {
  /** Time until the task fits on the target, in milliseconds. */
  readonly atMs: number;
  /** What is left beside the task at that time. */
  readonly spare: Resources;
}
