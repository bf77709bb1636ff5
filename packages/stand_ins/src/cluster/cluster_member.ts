/**
 * An instance of a test cluster.
 */
export interface ClusterMember {
  readonly id: string;
  readonly dataCentre: string;
  /** Whether the instance stores a replica of the release log. */
  readonly replica: boolean;
}
