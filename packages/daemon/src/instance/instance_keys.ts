/**
 * Secret keys of an instance. They are never logged.
 */
export interface InstanceKeys {
  /** Key that authenticates links between instances. */
  readonly peer: string;
  /** Bearer key of the operator API. */
  readonly operator: string;
  /** Bearer key for announcing targets; if absent, any client may announce. */
  readonly announce?: string;
}
