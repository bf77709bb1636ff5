/**
 * Size of the installation that the design has to support, stated by the users.
 */
export const CAPACITY_SIZE = {
  workers: 28_000,
  accelerators: 28_000,
  taskStartsPerSecond: 730_000,
  tasksPerJob: 420,
  teams: 120,
  regions: 5,
  dataCentres: 12,
  changesPerDay: 17_000,
  /** Time within which a configuration change is in force everywhere. */
  changeInForceSeconds: 5,
  /** Share of a core that control may use on a node. */
  nodeCorePart: 0.014,
  /** Memory that control may use on a node. */
  nodeMemoryBytes: 64_000_000,
  /** Network traffic that control may cause on a node. */
  nodeBytesPerSecond: 5_000,
  /** Instances set aside for control. */
  controlInstances: 22,
  failuresPerDay: 190,
  restartsPerDay: 5_200,
} as const;
