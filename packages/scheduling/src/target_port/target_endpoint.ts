import type {TargetId} from '@papayarun/protocol';

/**
 * Address at which an incarnation of a target accepts orders.
 */
export interface TargetEndpoint {
  readonly targetId: TargetId;
  readonly bornMs: number;
  readonly host: string;
  readonly port: number;
}
