import type {InstanceId} from '@papayarun/protocol';

/**
 * Receives the events of links, for logs and metrics.
 */
export interface LinkObserver {
  linkUp(peer: InstanceId): void;
  /** A link was lost, `silentMs` milliseconds after its last frame. */
  linkDown(peer: InstanceId, reason: string, silentMs: number): void;
  linkRefused(reason: string): void;
  /**
   * A connection of a client that had not shown the key was closed for a new one, or
   * since it sent too much.
   */
  unknownClientClosed?(): void;
  sent(type: string, bytes: number): void;
}
