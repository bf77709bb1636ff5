import type {Resources} from '@papayarun/protocol';

/** Target as input for a reservation. */
export interface Place {
  readonly free: Resources;
  /** Time until each of its runs ends, ascending, and what each frees. */
  readonly ends: ReadonlyArray<{
    readonly atMs: number;
    readonly freed: Resources;
  }>;
}
