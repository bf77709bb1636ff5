/**
 * Amounts of a worker's resources.
 */
export interface Resources {
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}
