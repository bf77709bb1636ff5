/** Cores of each emulated target. */
export const CORES = 32;
/** Resources of a task; two tasks fit on a target. */
export const NEEDS = {cores: 14, memoryMb: 64, accelerators: 0};
/** Longest lease of a target, in milliseconds. */
export const MAX_LEASE_MS = 1_000;
/** Longest time in which a target stops a run, in milliseconds. */
export const STOP_MS = 50;
