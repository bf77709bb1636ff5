/** When an order was sent, by the scheduler's clock and the target's restarts. */
export interface SendTime {
  readonly atMs: number;
  readonly restarts: number;
}
