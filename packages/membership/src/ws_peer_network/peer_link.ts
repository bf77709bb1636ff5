import type {InstanceId} from '@papayarun/protocol';
import {encodeMessage, PeerCallError} from '@papayarun/protocol';
import type {WebSocket} from 'ws';
import type {Frame} from '../_lib/frame.js';
import {parseFrame} from '../_lib/parse_frame.js';
import type {LinkObserver} from './link_observer.js';
import type {MessageInbox} from './message_inbox.js';

interface PendingCall {
  readonly resolve: (body: unknown) => void;
  readonly reject: (err: Error) => void;
}

/**
 * Authenticated WebSocket connection to a peer.
 */
export class PeerLink {
  private readonly pending = new Map<number, PendingCall>();
  private nextCallId = 1;
  /** Time of the last received frame in milliseconds, by `now`. */
  lastHeardMs: number;
  /** Time since which the last received frame arrived, by `readUpTo`. */
  arrivedSinceMs: number;
  /** Time of the last sent frame in milliseconds, by `now`. */
  lastSentMs: number;

  private constructor(
    readonly peer: InstanceId,
    private readonly socket: WebSocket,
    private readonly inbox: MessageInbox,
    private readonly observer: LinkObserver,
    private readonly maxBufferedBytes: number,
    private readonly now: () => number,
    private readonly readUpTo: () => number,
  ) {
    this.lastHeardMs = now();
    this.arrivedSinceMs = readUpTo();
    this.lastSentMs = this.lastHeardMs;
  }

  /**
   * Creates a link over a socket after the handshake.
   *
   * @param peer - Id of the peer.
   * @param socket - Open socket.
   * @param inbox - Messages of the socket.
   * @param observer - Receives the type and size of each sent frame.
   * @param maxBufferedBytes - Unsent bytes above which calls are refused.
   * @param now - Monotonic clock in milliseconds.
   * @param readUpTo - Monotonic time before which nothing arrived that is still
   *   unread, in milliseconds.
   * @returns The link.
   * @example
   * const link = PeerLink.create(peer, socket, inbox, observer, 1 << 20,
   *   now, readUpTo);
   */
  static create(
    peer: InstanceId,
    socket: WebSocket,
    inbox: MessageInbox,
    observer: LinkObserver,
    maxBufferedBytes: number,
    now: () => number,
    readUpTo: () => number,
  ): PeerLink {
    return new PeerLink(
      peer,
      socket,
      inbox,
      observer,
      maxBufferedBytes,
      now,
      readUpTo,
    );
  }

  /**
   * Reads frames until the link closes.
   *
   * @param onRequest - Handles calls and notices.
   * @returns Reason why the link closed.
   */
  run(onRequest: (link: PeerLink, frame: Frame) => void): Promise<string> {
    return new Promise(resolve => {
      this.inbox.forwardTo(data => {
        this.lastHeardMs = this.now();
        this.arrivedSinceMs = this.readUpTo();
        try {
          this.receive(parseFrame(data), onRequest);
        } catch (err) {
          this.socket.close(1002, 'bad frame');
          resolve((err as Error).message);
        }
      });
      this.socket.on('error', err => resolve(err.message));
      this.socket.on('close', code => {
        this.rejectPendingCalls();
        resolve(`closed with code ${code}`);
      });
    });
  }

  call(
    type: string,
    body: unknown,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<unknown> {
    if (!this.isOpen()) {
      return Promise.reject(
        PeerCallError.create(false, `no link to ${this.peer}`),
      );
    }
    if (this.socket.bufferedAmount > this.maxBufferedBytes) {
      return Promise.reject(
        PeerCallError.create(false, `link to ${this.peer} is congested`),
      );
    }
    const id = this.nextCallId++;
    return new Promise((resolve, reject) => {
      const settle = (): void => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', abort);
        this.pending.delete(id);
      };
      const fail = (message: string): void => {
        settle();
        reject(PeerCallError.create(true, message));
      };
      const abort = (): void =>
        fail(`call ${type} to ${this.peer} was cancelled`);
      const timer = setTimeout(
        () => fail(`call ${type} to ${this.peer} timed out`),
        timeoutMs,
      );
      signal?.addEventListener('abort', abort);
      this.pending.set(id, {
        resolve: value => {
          settle();
          resolve(value);
        },
        reject: err => {
          settle();
          reject(err);
        },
      });
      this.send({f: 'call', id, type, body}, type);
    });
  }

  send(frame: Frame, type: string): void {
    if (!this.isOpen()) {
      return;
    }
    const bytes = encodeMessage(frame);
    this.lastSentMs = this.now();
    this.observer.sent(type, bytes.length);
    this.socket.send(bytes);
  }

  /** Whether the link is open and its send buffer is not full. */
  hasBufferSpace(): boolean {
    return this.isOpen() && this.socket.bufferedAmount <= this.maxBufferedBytes;
  }

  /** Bytes that wait to be sent. */
  get unsentBytes(): number {
    return this.socket.bufferedAmount;
  }

  close(): void {
    this.socket.terminate();
  }

  private isOpen(): boolean {
    return this.socket.readyState === this.socket.OPEN;
  }

  private receive(
    frame: Frame,
    onRequest: (link: PeerLink, frame: Frame) => void,
  ): void {
    switch (frame.f) {
      case 'reply':
        this.pending.get(frame.id)?.resolve(frame.body);
        return;
      case 'fail':
        this.pending
          .get(frame.id)
          ?.reject(
            PeerCallError.create(true, `${this.peer}: ${frame.message}`),
          );
        return;
      case 'call':
      case 'note':
        onRequest(this, frame);
        return;
      default:
        frame satisfies never;
    }
  }

  private rejectPendingCalls(): void {
    for (const call of [...this.pending.values()]) {
      call.reject(PeerCallError.create(true, `link to ${this.peer} was lost`));
    }
  }
}
