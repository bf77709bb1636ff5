import type {IncomingMessage, Server} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {
  InstanceId,
  PeerCalls,
  PeerNetwork,
  PeerNotices,
} from '@papayarun/protocol';
import {PeerCallError} from '@papayarun/protocol';
import {WebSocket, WebSocketServer} from 'ws';
import type {Frame} from '../_lib/frame.js';
import type {PeerAddress} from '../peer_address/peer_address.js';
import {handshake} from './handshake.js';
import {MessageInbox} from './message_inbox.js';
import {PeerLink} from './peer_link.js';
import {UnknownClients} from './unknown_clients.js';
import type {WsPeerNetworkOptions} from './ws_peer_network_options.js';

/** Lower bound of the reconnect delay, which doubles after each failed attempt. */
const MIN_RECONNECT_DELAY_MS = 50;
/** Upper bound of the reconnect delay; a link that lasts longer resets the delay. */
const MAX_RECONNECT_DELAY_MS = 1_000;
const CONNECT_TIMEOUT_MS = 2_000;
/** Time for the headers of a connection, in milliseconds; peers send them at once. */
const HEADERS_TIMEOUT_MS = 5_000;
const HEADERS_CHECK_MS = 1_000;
/**
 * Bytes that are read from a client before it has shown the key; both messages of the
 * handshake have less.
 */
const MAX_UNKNOWN_BYTES = 8 * 1024;
const UPGRADE_REQUIRED = 426;

type CallHandler = (from: InstanceId, req: unknown) => Promise<unknown>;
type NoticeHandler = (from: InstanceId, notice: unknown) => void;

/**
 * WebSocket links to peers, one per pair of instances.
 *
 * @description Of two configured instances, the one with the smaller id dials.
 * One task per peer dials, runs the handshake, reads frames until the link
 * closes, and reconnects after a backoff with jitter.
 */
export class WsPeerNetwork implements PeerNetwork {
  readonly self: InstanceId;
  private readonly links = new Map<InstanceId, PeerLink>();
  private readonly callHandlers = new Map<string, CallHandler>();
  private readonly noticeHandlers = new Map<string, NoticeHandler>();
  private readonly stopping = new AbortController();
  /** Aborted by `start`. */
  private readonly starting = new AbortController();
  /** Aborted when the link to a peer is lost, for those that wait for it. */
  private readonly linkDownWaits = new Map<InstanceId, AbortController>();
  /** Peers that were discovered at run time, with the controller that ends dialling. */
  private readonly discoveredPeers = new Map<InstanceId, AbortController>();

  private constructor(
    private readonly opts: WsPeerNetworkOptions,
    private readonly httpServer: Server,
    private readonly server: WebSocketServer,
    private readonly unknownClients: UnknownClients,
  ) {
    this.self = opts.self;
  }

  /**
   * Listens for connections of peers.
   *
   * @param opts - Identity, shared key, peers, limits and observer.
   * @param listen - Address to listen on; port 0 selects a free port.
   * @returns The network, listening.
   * @throws Error when the server can't listen on the address.
   * @example
   * const net = await WsPeerNetwork.create(opts, {host: '127.0.0.1', port: 0});
   */
  static async create(
    opts: WsPeerNetworkOptions,
    listen: {readonly host: string; readonly port: number},
  ): Promise<WsPeerNetwork> {
    const httpServer = createServer(
      {
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: HEADERS_TIMEOUT_MS,
        connectionsCheckingInterval: HEADERS_CHECK_MS,
      },
      (_req, res) => {
        res.writeHead(UPGRADE_REQUIRED, {connection: 'close'}).end();
      },
    );
    const unknownClients = UnknownClients.create(() =>
      opts.observer.unknownClientClosed?.(),
    );
    httpServer.on('connection', socket => unknownClients.add(socket));
    const server = new WebSocketServer({
      server: httpServer,
      maxPayload: opts.maxFrameBytes,
      perMessageDeflate: false,
    });
    await new Promise<void>((resolve, reject) => {
      server.once('listening', resolve);
      server.once('error', reject);
      httpServer.listen(listen.port, listen.host);
    });
    const network = new WsPeerNetwork(opts, httpServer, server, unknownClients);
    server.on('connection', (socket, req) => void network.accept(socket, req));
    return network;
  }

  /** Port that this instance listens on for peers. */
  get port(): number {
    return (this.httpServer.address() as AddressInfo).port;
  }

  /**
   * Starts to dial the peers and to answer those that have dialled. Nothing of a
   * peer is handled before. Call it after all handlers are set and all parts that
   * they need are there.
   */
  start(): void {
    this.starting.abort();
    for (const peer of this.opts.peers) {
      if (this.self < peer.instanceId) {
        void this.dialLoop(peer, this.stopping.signal);
      }
    }
    void this.closeSilentLinksLoop();
  }

  /**
   * Starts to dial a peer that was discovered at run time.
   *
   * @description Both ends may dial; a link that the peer dialled is used too.
   * @param peer - Address of the peer.
   */
  addDiscoveredPeer(peer: PeerAddress): void {
    if (
      peer.instanceId === this.self ||
      this.discoveredPeers.has(peer.instanceId)
    ) {
      return;
    }
    const dialController = new AbortController();
    this.discoveredPeers.set(peer.instanceId, dialController);
    void this.dialLoop(peer, dialController.signal);
  }

  /**
   * Stops dialling a discovered peer; an open link stays open.
   *
   * @param peer - Id of the peer.
   */
  removeDiscoveredPeer(peer: InstanceId): void {
    this.discoveredPeers.get(peer)?.abort();
    this.discoveredPeers.delete(peer);
  }

  /** Closes all links and stops listening. */
  async stop(): Promise<void> {
    this.stopping.abort();
    this.starting.abort();
    for (const peer of [...this.discoveredPeers.keys()]) {
      this.removeDiscoveredPeer(peer);
    }
    for (const link of this.links.values()) {
      link.close();
    }
    for (const client of this.server.clients) {
      client.terminate();
    }
    this.unknownClients.closeAll();
    this.server.close();
    await new Promise<void>(resolve => this.httpServer.close(() => resolve()));
  }

  async call<K extends keyof PeerCalls>(
    to: InstanceId,
    type: K,
    req: PeerCalls[K]['req'],
    opts: {readonly timeoutMs: number; readonly signal?: AbortSignal},
  ): Promise<PeerCalls[K]['res']> {
    const link = this.links.get(to);
    if (!link) {
      throw PeerCallError.create(false, `no link to ${to}`);
    }
    return (await link.call(
      type,
      req,
      opts.timeoutMs,
      opts.signal,
    )) as PeerCalls[K]['res'];
  }

  notify<K extends keyof PeerNotices>(
    to: InstanceId,
    type: K,
    notice: PeerNotices[K],
  ): void {
    const link = this.links.get(to);
    if (link?.hasBufferSpace()) {
      link.send({f: 'note', type, body: notice}, type);
    }
  }

  onCall<K extends keyof PeerCalls>(
    type: K,
    handler: (
      from: InstanceId,
      req: PeerCalls[K]['req'],
    ) => Promise<PeerCalls[K]['res']>,
  ): void {
    this.callHandlers.set(type, handler as CallHandler);
  }

  onNotice<K extends keyof PeerNotices>(
    type: K,
    handler: (from: InstanceId, notice: PeerNotices[K]) => void,
  ): void {
    this.noticeHandlers.set(type, handler as NoticeHandler);
  }

  connectedPeers(): InstanceId[] {
    return [...this.links.keys()];
  }

  /**
   * Monotonic time of the last frame from a peer, in milliseconds; undefined
   * without a link to it.
   */
  lastHeardMs(peer: InstanceId): number | undefined {
    return this.links.get(peer)?.lastHeardMs;
  }

  /**
   * Monotonic time since which the last frame from a peer arrived, in
   * milliseconds, which may be long before it was read; undefined without a link
   * to it.
   */
  arrivedSinceMs(peer: InstanceId): number | undefined {
    return this.links.get(peer)?.arrivedSinceMs;
  }

  /**
   * Monotonic time of the last frame to a peer, in milliseconds; undefined
   * without a link to it.
   */
  lastSentMs(peer: InstanceId): number | undefined {
    return this.links.get(peer)?.lastSentMs;
  }

  /** Bytes that wait to be sent on all links. */
  unsentBytes(): number {
    let bytes = 0;
    for (const link of this.links.values()) {
      bytes += link.unsentBytes;
    }
    return bytes;
  }

  private async dialLoop(
    peer: PeerAddress,
    stopSignal: AbortSignal,
  ): Promise<void> {
    await aborted(this.starting.signal);
    let delayMs = MIN_RECONNECT_DELAY_MS;
    while (!stopSignal.aborted) {
      const startedMs = this.opts.clock.now();
      try {
        if (this.links.has(peer.instanceId)) {
          await this.waitForLinkDown(peer.instanceId, stopSignal);
        } else {
          await this.dialOnce(peer);
        }
      } catch (err) {
        this.opts.observer.linkRefused((err as Error).message);
      }
      const durationMs = this.opts.clock.now() - startedMs;
      delayMs =
        durationMs > MAX_RECONNECT_DELAY_MS
          ? MIN_RECONNECT_DELAY_MS
          : Math.min(MAX_RECONNECT_DELAY_MS, delayMs * 2);
      const jitter = 0.5 + this.opts.random.next();
      await this.opts.clock.sleep(delayMs * jitter, stopSignal);
    }
  }

  /** Waits until a link that the peer has dialled is lost. */
  private async waitForLinkDown(
    peer: InstanceId,
    stopSignal: AbortSignal,
  ): Promise<void> {
    const wait = this.linkDownWaits.get(peer) ?? new AbortController();
    this.linkDownWaits.set(peer, wait);
    const stop = (): void => wait.abort();
    stopSignal.addEventListener('abort', stop, {once: true});
    if (!stopSignal.aborted) {
      await aborted(wait.signal);
    }
    stopSignal.removeEventListener('abort', stop);
  }

  private async dialOnce(peer: PeerAddress): Promise<void> {
    const host = peer.host.includes(':') ? `[${peer.host}]` : peer.host;
    const socket = new WebSocket(`ws://${host}:${peer.port}`, {
      maxPayload: this.opts.maxFrameBytes,
      perMessageDeflate: false,
      handshakeTimeout: CONNECT_TIMEOUT_MS,
    });
    const inbox = MessageInbox.create(socket);
    try {
      await new Promise<void>((resolve, reject) => {
        socket.once('open', resolve);
        socket.once('error', reject);
      });
      socket.on('error', () => socket.terminate());
      await handshake(socket, inbox, this.self, this.opts.key, peer.instanceId);
      await this.runLink(peer.instanceId, socket, inbox);
    } finally {
      socket.on('error', () => undefined);
      socket.terminate();
    }
  }

  private async accept(socket: WebSocket, req: IncomingMessage): Promise<void> {
    const inbox = MessageInbox.create(socket);
    const stopLimit = this.limitUnknownBytes(socket, req);
    socket.on('error', () => socket.terminate());
    try {
      await aborted(this.starting.signal);
      const peer = await handshake(
        socket,
        inbox,
        this.self,
        this.opts.key,
        undefined,
      );
      const isMember = this.opts.peers.some(p => p.instanceId === peer);
      if (!isMember && !this.opts.acceptsUnknownPeers) {
        throw new Error(`${peer} is not among the members`);
      }
      stopLimit();
      await this.runLink(peer, socket, inbox);
    } catch (err) {
      if (socket.isPaused) {
        this.opts.observer.unknownClientClosed?.();
      }
      this.opts.observer.linkRefused((err as Error).message);
    } finally {
      socket.terminate();
    }
  }

  /**
   * Reads no more from a client that sends more than a handshake, until it has shown
   * the key. What a peer sends right behind its last message may have been read
   * together with that; a client that shows no key is disconnected by the handshake.
   *
   * @returns Ends the limit.
   */
  private limitUnknownBytes(
    socket: WebSocket,
    req: IncomingMessage,
  ): () => void {
    let bytes = 0;
    const count = (data: Buffer): void => {
      bytes += data.length;
      if (bytes > MAX_UNKNOWN_BYTES && !socket.isPaused) {
        socket.pause();
      }
    };
    req.socket.on('data', count);
    return () => {
      this.unknownClients.remove(req.socket);
      req.socket.off('data', count);
      socket.resume();
    };
  }

  private async runLink(
    peer: InstanceId,
    socket: WebSocket,
    inbox: MessageInbox,
  ): Promise<void> {
    if (this.stopping.signal.aborted) {
      return;
    }
    const link = PeerLink.create(
      peer,
      socket,
      inbox,
      this.opts.observer,
      this.opts.maxBufferedBytes,
      () => this.opts.clock.now(),
      this.opts.readUpToMs ?? (() => this.opts.clock.now()),
    );
    this.links.get(peer)?.close();
    this.links.set(peer, link);
    this.opts.observer.linkUp(peer);
    const reason = await link.run((from, frame) =>
      this.handleFrame(from, frame),
    );
    if (this.links.get(peer) === link) {
      this.links.delete(peer);
      this.linkDownWaits.get(peer)?.abort();
      this.linkDownWaits.delete(peer);
    }
    const silentMs = this.opts.clock.now() - link.lastHeardMs;
    this.opts.observer.linkDown(peer, reason, silentMs);
  }

  private handleFrame(link: PeerLink, frame: Frame): void {
    if (frame.f === 'note') {
      this.noticeHandlers.get(frame.type)?.(link.peer, frame.body);
      return;
    }
    if (frame.f === 'call') {
      void this.respond(link, frame.id, frame.type, frame.body);
    }
  }

  private async respond(
    link: PeerLink,
    id: number,
    type: string,
    body: unknown,
  ): Promise<void> {
    const handler = this.callHandlers.get(type);
    if (!handler) {
      link.send({f: 'fail', id, message: `unknown call ${type}`}, type);
      return;
    }
    try {
      const result = await handler(link.peer, body);
      link.send({f: 'reply', id, body: result}, type);
    } catch (err) {
      link.send({f: 'fail', id, message: (err as Error).message}, type);
    }
  }

  /** Closes links without received frames for `linkTimeoutMs`, such as half-open ones. */
  private async closeSilentLinksLoop(): Promise<void> {
    const {clock, linkTimeoutMs, linkCheckMs} = this.opts;
    while (!this.stopping.signal.aborted) {
      await clock.sleep(linkCheckMs, this.stopping.signal);
      for (const link of this.links.values()) {
        if (clock.now() - link.lastHeardMs > linkTimeoutMs(link.peer)) {
          link.close();
        }
      }
    }
  }
}

/** Resolves once a signal is aborted. */
async function aborted(signal: AbortSignal): Promise<void> {
  if (!signal.aborted) {
    await new Promise<void>(resolve =>
      signal.addEventListener('abort', () => resolve(), {once: true}),
    );
  }
}
