/**
 * Keys of an instance; never logged.
 */
export interface InstanceKeys {
  readonly peer: string;
  readonly operator: string;
  /** Absent when anyone may announce targets. */
  readonly announce?: string;
}
