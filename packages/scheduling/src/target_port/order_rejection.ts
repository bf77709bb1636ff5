/**
 * Why an order was certainly not carried out.
 *
 * @description `fenced`: the target has seen a higher fencing token.
 * `superseded`: a run with this number or a higher one ended there. `expired`:
 * the lease was over on arrival. `otherIncarnation`: the target has restarted.
 * `notSent`: no connection could be made.
 */
export type OrderRejection =
  | 'fenced'
  | 'superseded'
  | 'expired'
  | 'noRoom'
  | 'unhealthy'
  | 'malformed'
  | 'otherIncarnation'
  | 'notSent';
