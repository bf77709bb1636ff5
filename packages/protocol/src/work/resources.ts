/**
 * Amounts of compute resources of a worker or task.
 */
export interface Resources {
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}
