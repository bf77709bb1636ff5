import type {Socket} from 'node:net';

interface ConnectionUse {
  /** Requests whose response has not been sent as a whole. */
  requests: number;
  /**
   * Bytes that were read when its last response had been sent; undefined before.
   */
  bytesRead: number | undefined;
}

/**
 * Open connections of a server, and which of them are idle.
 *
 * @description The HTTP server of Node.js takes a connection for idle as soon as its
 * response was written, also when the client has yet to receive a part of it.
 */
export class OpenConnections {
  private readonly uses = new Map<Socket, ConnectionUse>();

  private constructor() {}

  /**
   * Creates an empty set.
   *
   * @returns The set.
   * @example
   * const connections = OpenConnections.create();
   */
  static create(): OpenConnections {
    return new OpenConnections();
  }

  /** Adds a connection until it closes. */
  add(socket: Socket): void {
    this.uses.set(socket, {requests: 0, bytesRead: undefined});
    socket.once('close', () => this.uses.delete(socket));
  }

  /** Counts a request on a connection. */
  requestStarted(socket: Socket): void {
    const use = this.uses.get(socket);
    if (use) {
      use.requests++;
    }
  }

  /** Ends the count of a request whose response has been sent as a whole. */
  requestEnded(socket: Socket): void {
    const use = this.uses.get(socket);
    if (use) {
      use.requests--;
      use.bytesRead = socket.bytesRead;
    }
  }

  /**
   * Closes each connection on which neither a request nor a part of one is. Its
   * first request is on the way on a connection that had none.
   */
  closeIdle(): void {
    for (const [socket, use] of this.uses) {
      if (use.requests === 0 && use.bytesRead === socket.bytesRead) {
        socket.destroy();
      }
    }
  }
}
