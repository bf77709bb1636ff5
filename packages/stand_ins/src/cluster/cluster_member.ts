/**
 * One instance of a test cluster.
 */
export interface ClusterMember {
  readonly id: string;
  readonly dataCentre: string;
  readonly replica: boolean;
}
