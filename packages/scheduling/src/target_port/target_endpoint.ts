import type {TargetId} from '@papayarun/protocol';

/**
 * Where an incarnation of a target takes orders.
 */
export interface TargetEndpoint {
  readonly targetId: TargetId;
  readonly bornMs: number;
  readonly host: string;
  readonly port: number;
}
