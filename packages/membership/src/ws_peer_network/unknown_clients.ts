import type {Socket} from 'node:net';

/**
 * Connections at a time that have not shown the key. Peers show it within some
 * milliseconds, so many of them can connect at once.
 */
const MAX_UNKNOWN = 256;

/**
 * Connections of clients that may be anyone, until they have shown the key.
 */
export class UnknownClients {
  private readonly sockets = new Set<Socket>();

  private constructor(private readonly onClosed: () => void) {}

  /**
   * Creates an empty set.
   *
   * @param onClosed - Called when a connection is closed for a new one.
   * @returns The set.
   * @throws Never.
   * @example
   * const unknown = UnknownClients.create(() => closed++);
   */
  static create(onClosed: () => void): UnknownClients {
    return new UnknownClients(onClosed);
  }

  /** Adds a connection; closes the oldest one if there are too many. */
  add(socket: Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
    if (this.sockets.size > MAX_UNKNOWN) {
      const [oldest] = this.sockets;
      this.sockets.delete(oldest!);
      oldest!.destroy();
      this.onClosed();
    }
  }

  /** Removes a connection whose client has shown the key. */
  remove(socket: Socket): void {
    this.sockets.delete(socket);
  }

  /** Closes all connections. */
  closeAll(): void {
    this.sockets.forEach(socket => socket.destroy());
  }
}
