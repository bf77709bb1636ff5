/**
 * Reason why an order was certainly not carried out.
 *
 * @description `fenced`: the target has seen a higher fencing token.
 * `superseded`: a run with this number or a higher one has ended on the target.
 * `expired`: the lease had expired when the order arrived. `noRoom`: the target
 * has too little free capacity. `otherIncarnation`: the instance at the address has
 * another id, so the target has ended.
 * `notSent`: no connection could be made. `refused`: likewise, since nothing
 * listens at the target's address.
 */
export type OrderRejection =
  | 'fenced'
  | 'superseded'
  | 'expired'
  | 'noRoom'
  | 'unhealthy'
  | 'malformed'
  | 'otherIncarnation'
  | 'notSent'
  | 'refused';
