import type {InstanceId} from '@papayarun/protocol';

/**
 * Receives the events of links, for logs and metrics.
 */
export interface LinkObserver {
  linkUp(peer: InstanceId): void;
  linkDown(peer: InstanceId, reason: string): void;
  linkRefused(reason: string): void;
  sent(type: string, bytes: number): void;
}
