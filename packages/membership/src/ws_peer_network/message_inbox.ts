import type {WebSocket} from 'ws';

/**
 * Messages of a socket, kept until they are read.
 *
 * @description Several messages can arrive in one read of the socket. They are
 * emitted one after the other, so a listener that is added between two of them
 * would miss the first.
 */
export class MessageInbox {
  private readonly unread: Buffer[] = [];
  private handle: ((data: Buffer) => void) | undefined;

  private constructor() {}

  /**
   * Creates the inbox of a new socket.
   *
   * @param socket - The socket, from which nothing has been read yet.
   * @returns The inbox.
   * @example
   * const inbox = MessageInbox.create(new WebSocket(url));
   */
  static create(socket: WebSocket): MessageInbox {
    const inbox = new MessageInbox();
    socket.on('message', (data: Buffer) => inbox.receive(data));
    return inbox;
  }

  /** Resolves with the next message; another call replaces this one. */
  next(): Promise<Buffer> {
    const data = this.unread.shift();
    if (data) {
      return Promise.resolve(data);
    }
    return new Promise(resolve => {
      this.handle = message => {
        this.handle = undefined;
        resolve(message);
      };
    });
  }

  /** Passes all messages to a handler, unread ones first. */
  forwardTo(handle: (data: Buffer) => void): void {
    this.handle = handle;
    for (const data of this.unread.splice(0)) {
      handle(data);
    }
  }

  private receive(data: Buffer): void {
    if (this.handle) {
      this.handle(data);
    } else {
      this.unread.push(data);
    }
  }
}
