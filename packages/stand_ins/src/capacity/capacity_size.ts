/**
 * The size that the design is for, as the users gave it.
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
  inForceSeconds: 5,
  /** Control on a node: part of a core, bytes of memory, bytes a second. */
  nodeCorePart: 0.014,
  nodeMemoryBytes: 64_000_000,
  nodeBytesPerSecond: 5_000,
  controlInstances: 22,
  failuresPerDay: 190,
  restartsPerDay: 5_200,
} as const;
