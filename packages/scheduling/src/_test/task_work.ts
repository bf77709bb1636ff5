/** Resources and run time of a task on a usual target. */
export interface TaskWork {
  readonly cores: number;
  readonly workMs: number;
}
