/**
 * Number of queued and running work items of one kind for a service.
 */
export interface KindDigest {
  readonly queued: number;
  readonly running: number;
}
