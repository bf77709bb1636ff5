import type {KnownInstance} from './known_instance.js';

/**
 * Asks an instance which others it has heard from of late.
 */
export interface ListInstancesCall {
  readonly req: Record<string, never>;
  readonly res: {readonly instances: readonly KnownInstance[]};
}
