import type {Socket} from 'node:net';

interface ConnectionUse {
  /** Aborts each request whose response has not been sent as a whole. */
  readonly aborts: Set<() => void>;
  /** Called when the connection is closed. */
  readonly closeHandlers: Set<() => void>;
  /**
   * Bytes that were read when its last response had been sent; undefined before.
   */
  bytesRead: number | undefined;
  /** Time since which it has no whole request in progress, in milliseconds. */
  unusedSinceMs: number;
}

/**
 * Time after which a connection without a whole request may be closed for a new one,
 * in milliseconds. A client that has just connected needs less.
 */
const UNFINISHED_MS = 1_000;
/** The same for a connection that is idle after a response; clients keep them for 15 s. */
const IDLE_MS = 16_000;

/**
 * Open connections of a server, and which of them are idle.
 *
 * @description The HTTP server of Node.js takes a connection for idle as soon as its
 * response was written, also when the client has yet to receive a part of it.
 */
export class OpenConnections {
  private readonly uses = new Map<Socket, ConnectionUse>();
  private readonly closing = new Set<Socket>();

  private constructor(private readonly now: () => number) {}

  /**
   * Creates an empty set.
   *
   * @param now - Monotonic clock in milliseconds.
   * @returns The set.
   * @example
   * const connections = OpenConnections.create(() => clock.now());
   */
  static create(now: () => number): OpenConnections {
    return new OpenConnections(now);
  }

  /** Number of connections that are open and not being closed. */
  get count(): number {
    return this.uses.size - this.closing.size;
  }

  /**
   * Adds a connection until it closes. Its requests are aborted as soon as its end
   * has been read; their responses close some turns of the event loop later.
   */
  add(socket: Socket): void {
    const aborts = new Set<() => void>();
    const closeHandlers = new Set<() => void>();
    this.uses.set(socket, {
      aborts,
      closeHandlers,
      bytesRead: undefined,
      unusedSinceMs: this.now(),
    });
    socket.once('end', () => aborts.forEach(abort => abort()));
    socket.once('close', () => {
      this.uses.delete(socket);
      this.closing.delete(socket);
      aborts.forEach(abort => abort());
      closeHandlers.forEach(handle => handle());
    });
  }

  /**
   * Calls a handler when a connection is closed, or at once if it is.
   *
   * @returns Removes the handler.
   */
  onceClosed(socket: Socket, handle: () => void): () => void {
    const handlers = this.uses.get(socket)?.closeHandlers;
    if (!handlers) {
      handle();
      return () => undefined;
    }
    handlers.add(handle);
    return () => handlers.delete(handle);
  }

  /** Number of requests in progress on a connection. */
  requestsOn(socket: Socket): number {
    return this.uses.get(socket)?.aborts.size ?? 0;
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
      use.unusedSinceMs = this.now();
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

  /**
   * Closes the oldest connection without a whole request, for a new one.
   *
   * @returns Whether there was one.
   */
  closeUnfinished(): boolean {
    const nowMs = this.now();
    for (const [socket, use] of this.uses) {
      const isIdle = use.bytesRead === socket.bytesRead;
      const limitMs = isIdle ? IDLE_MS : UNFINISHED_MS;
      if (
        use.aborts.size === 0 &&
        nowMs - use.unusedSinceMs >= limitMs &&
        !this.closing.has(socket)
      ) {
        this.close(socket);
        return true;
      }
    }
    return false;
  }

  /** Closes a connection, which no longer counts. */
  close(socket: Socket): void {
    if (this.uses.has(socket)) {
      this.closing.add(socket);
    }
    socket.destroy();
  }

  /** Stops reading on all connections. */
  pause(): void {
    for (const socket of this.uses.keys()) {
      socket.pause();
    }
  }

  /** Reads again on all connections, unless the HTTP server has paused them. */
  resume(): void {
    for (const socket of this.uses.keys()) {
      socket.resume();
    }
  }
}
