import type {TargetId} from '@papayarun/protocol';

/**
 * Address at which a target accepts orders, by the last report that named it.
 */
export interface TargetEndpoint {
  readonly targetId: TargetId;
  readonly host: string;
  readonly port: number;
}
