import type {CallerId, KindId, TeamId} from '@papayarun/protocol';

/**
 * Properties of a request that its caller declares in headers.
 */
export interface WorkHeaders {
  /** Idempotency key; set if and only if the request is not repeatable. */
  readonly id?: string;
  readonly repeatable: boolean;
  readonly kind: KindId;
  readonly caller: CallerId;
  readonly team: TeamId;
  readonly urgency: number;
  readonly deadlineMs: number;
  /** Run time that the caller declares, in ms. */
  readonly declaredRunMs?: number;
  /** Customer whose behaviours are sent to the target. */
  readonly customer?: string;
}
