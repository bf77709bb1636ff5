import type {Socket} from 'node:net';

interface ConnectionUse {
  /** Aborts each request whose response has not been sent as a whole. */
  readonly aborts: Set<() => void>;
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

  /**
   * Adds a connection until it closes. Its requests are aborted as soon as its end
   * has been read; their responses close some turns of the event loop later.
   */
  add(socket: Socket): void {
    const aborts = new Set<() => void>();
    this.uses.set(socket, {aborts, bytesRead: undefined});
    socket.once('end', () => aborts.forEach(abort => abort()));
    socket.once('close', () => this.uses.delete(socket));
  }

  /**
   * Adds a request.
   *
   * @param socket - Its connection.
   * @param abort - Called if the caller ends the connection before the response
   *   has been sent as a whole.
   */
  requestStarted(socket: Socket, abort: () => void): void {
    this.uses.get(socket)?.aborts.add(abort);
  }

  /** Removes a request whose response has been sent as a whole. */
  requestEnded(socket: Socket, abort: () => void): void {
    const use = this.uses.get(socket);
    if (use) {
      use.aborts.delete(abort);
      use.bytesRead = socket.bytesRead;
    }
  }

  /**
   * Closes each connection on which neither a request nor a part of one is. Its
   * first request is on the way on a connection that had none.
   */
  closeIdle(): void {
    for (const [socket, use] of this.uses) {
      if (use.aborts.size === 0 && use.bytesRead === socket.bytesRead) {
        socket.destroy();
      }
    }
  }
}
