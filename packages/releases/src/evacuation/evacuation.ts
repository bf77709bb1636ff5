/**
 * Latest order on the evacuation of a data centre. The record of a withdrawn order
 * is kept, so that its serial number is never used again.
 */
export interface Evacuation {
  /** Number of orders so far, also of those that changed nothing. */
  readonly serial: number;
  /** Whether nothing may be started on the targets of the data centre. */
  readonly isEvacuated: boolean;
  /** Wall time of the first of equal orders, in milliseconds since the Unix epoch. */
  readonly atMs: number;
}
