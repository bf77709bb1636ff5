import type {CallerId, KindId, TeamId} from '@papayarun/protocol';

/**
 * What a caller declares of a request in its headers.
 */
export interface WorkHeaders {
  /** Idempotency key; present when the request may not be repeated. */
  readonly id?: string;
  readonly repeatable: boolean;
  readonly kind: KindId;
  readonly caller: CallerId;
  readonly team: TeamId;
  readonly urgency: number;
  readonly deadlineMs: number;
  readonly declaredRunMs?: number;
  /** Customer whose behaviours the target is told. */
  readonly customer?: string;
}
