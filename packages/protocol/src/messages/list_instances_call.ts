import type {KnownInstance} from './known_instance.js';

/**
 * Requests the instances from which the receiver has recently had messages.
 */
export interface ListInstancesCall {
  readonly req: Record<string, never>;
  readonly res: {readonly instances: readonly KnownInstance[]};
}
