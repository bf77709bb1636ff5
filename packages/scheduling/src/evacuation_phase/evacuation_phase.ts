/**
 * What may be started on the targets of a data centre, by the order of an operator.
 */
export type EvacuationPhase =
  /** Anything. */
  | {readonly kind: 'inService'}
  /** Only tasks of jobs that have begun: the data centre is being evacuated. */
  | {readonly kind: 'leaving'}
  /** Nothing. */
  | {readonly kind: 'evacuated'}
  /** Anything, on a share of the targets: the others are taken back later. */
  | {readonly kind: 'returning'; readonly share: number};
