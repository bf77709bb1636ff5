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
import {PeerLink} from './peer_link.js';
import type {WsPeerNetworkOptions} from './ws_peer_network_options.js';

const MIN_REDIAL_MS = 50;
const MAX_REDIAL_MS = 1_000;
const CONNECT_TIMEOUT_MS = 2_000;

type CallHandler = (from: InstanceId, req: unknown) => Promise<unknown>;
type NoticeHandler = (from: InstanceId, notice: unknown) => void;

/**
 * Links to peers over WebSocket, one a pair.
 *
 * @description The instance with the smaller name dials; one task a peer
 * dials, shakes hands, reads until the link is lost, and begins again.
 */
export class WsPeerNetwork implements PeerNetwork {
  readonly self: InstanceId;
  private readonly links = new Map<InstanceId, PeerLink>();
  private readonly calls = new Map<string, CallHandler>();
  private readonly notices = new Map<string, NoticeHandler>();
  private readonly stopping = new AbortController();
  /** Peers that were found while running, with what ends their dialling. */
  private readonly found = new Map<InstanceId, AbortController>();

  private constructor(
    private readonly opts: WsPeerNetworkOptions,
    private readonly server: WebSocketServer,
  ) {
    this.self = opts.self;
  }

  /**
   * Listens for peers and begins to dial them.
   *
   * @param opts - Names, key, bounds and observers.
   * @param listen - Address to listen on; port 0 lets the system choose.
   * @returns The network, listening.
   * @throws Error when the address can't be used.
   * @example
   * const net = await WsPeerNetwork.create(opts, {host: '127.0.0.1', port: 0});
   */
  static async create(
    opts: WsPeerNetworkOptions,
    listen: {readonly host: string; readonly port: number},
  ): Promise<WsPeerNetwork> {
    const server = new WebSocketServer({
      ...listen,
      maxPayload: opts.maxFrameBytes,
      perMessageDeflate: false,
      allowSynchronousEvents: false,
    });
    await new Promise<void>((resolve, reject) => {
      server.once('listening', resolve);
      server.once('error', reject);
    });
    const network = new WsPeerNetwork(opts, server);
    server.on('connection', socket => void network.accept(socket));
    return network;
  }

  /** Port that peers reach this instance on. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Begins to dial; called once all handlers are set. */
  start(): void {
    for (const peer of this.opts.peers) {
      if (this.self < peer.instanceId) {
        void this.dialLoop(peer, this.stopping.signal);
      }
    }
    void this.silenceLoop();
  }

  /**
   * Keeps a link to a peer that was found while running.
   *
   * @description Both ends may dial; a link that the peer made is used too.
   * @param peer - Where it listens.
   */
  keepLink(peer: PeerAddress): void {
    if (peer.instanceId === this.self || this.found.has(peer.instanceId)) {
      return;
    }
    const ending = new AbortController();
    this.found.set(peer.instanceId, ending);
    void this.dialLoop(peer, ending.signal);
  }

  /**
   * Dials a found peer no longer; an open link goes on.
   *
   * @param peer - The peer.
   */
  dropLink(peer: InstanceId): void {
    this.found.get(peer)?.abort();
    this.found.delete(peer);
  }

  /** Closes all links and stops listening. */
  async stop(): Promise<void> {
    this.stopping.abort();
    for (const peer of [...this.found.keys()]) {
      this.dropLink(peer);
    }
    for (const link of this.links.values()) {
      link.close();
    }
    for (const client of this.server.clients) {
      client.terminate();
    }
    await new Promise<void>(resolve => this.server.close(() => resolve()));
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
    if (link?.hasRoom()) {
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
    this.calls.set(type, handler as CallHandler);
  }

  onNotice<K extends keyof PeerNotices>(
    type: K,
    handler: (from: InstanceId, notice: PeerNotices[K]) => void,
  ): void {
    this.notices.set(type, handler as NoticeHandler);
  }

  linked(): InstanceId[] {
    return [...this.links.keys()];
  }

  private async dialLoop(
    peer: PeerAddress,
    ending: AbortSignal,
  ): Promise<void> {
    let waitMs = MIN_REDIAL_MS;
    while (!ending.aborted) {
      const startedMs = this.opts.clock.now();
      try {
        if (!this.links.has(peer.instanceId)) {
          await this.dialOnce(peer);
        }
      } catch (err) {
        this.opts.observer.linkRefused((err as Error).message);
      }
      const lasted = this.opts.clock.now() - startedMs;
      waitMs =
        lasted > MAX_REDIAL_MS
          ? MIN_REDIAL_MS
          : Math.min(MAX_REDIAL_MS, waitMs * 2);
      const jitter = 0.5 + this.opts.random.next();
      await this.opts.clock.sleep(waitMs * jitter, ending);
    }
  }

  private async dialOnce(peer: PeerAddress): Promise<void> {
    const host = peer.host.includes(':') ? `[${peer.host}]` : peer.host;
    const socket = new WebSocket(`ws://${host}:${peer.port}`, {
      maxPayload: this.opts.maxFrameBytes,
      perMessageDeflate: false,
      allowSynchronousEvents: false,
      handshakeTimeout: CONNECT_TIMEOUT_MS,
    });
    try {
      await new Promise<void>((resolve, reject) => {
        socket.once('open', resolve);
        socket.once('error', reject);
      });
      socket.on('error', () => socket.terminate());
      await handshake(socket, this.self, this.opts.key, peer.instanceId);
      await this.serve(peer.instanceId, socket);
    } finally {
      socket.on('error', () => undefined);
      socket.terminate();
    }
  }

  private async accept(socket: WebSocket): Promise<void> {
    socket.on('error', () => socket.terminate());
    try {
      const peer = await handshake(socket, this.self, this.opts.key, undefined);
      const isMember = this.opts.peers.some(p => p.instanceId === peer);
      if (!isMember && !this.opts.isOpen) {
        throw new Error(`${peer} is not among the members`);
      }
      await this.serve(peer, socket);
    } catch (err) {
      this.opts.observer.linkRefused((err as Error).message);
    } finally {
      socket.terminate();
    }
  }

  private async serve(peer: InstanceId, socket: WebSocket): Promise<void> {
    if (this.stopping.signal.aborted) {
      return;
    }
    const link = PeerLink.create(
      peer,
      socket,
      this.opts.observer,
      this.opts.maxBufferedBytes,
      () => this.opts.clock.now(),
    );
    this.links.get(peer)?.close();
    this.links.set(peer, link);
    this.opts.observer.linkUp(peer);
    const reason = await link.run((from, frame) => this.handle(from, frame));
    if (this.links.get(peer) === link) {
      this.links.delete(peer);
    }
    this.opts.observer.linkDown(peer, reason);
  }

  private handle(link: PeerLink, frame: Frame): void {
    if (frame.f === 'note') {
      this.notices.get(frame.type)?.(link.peer, frame.body);
      return;
    }
    if (frame.f === 'call') {
      void this.answer(link, frame.id, frame.type, frame.body);
    }
  }

  private async answer(
    link: PeerLink,
    id: number,
    type: string,
    body: unknown,
  ): Promise<void> {
    const handler = this.calls.get(type);
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

  /** Closes links that have gone silent, such as half-open ones. */
  private async silenceLoop(): Promise<void> {
    const {clock, silenceMs} = this.opts;
    while (!this.stopping.signal.aborted) {
      await clock.sleep(silenceMs / 4, this.stopping.signal);
      for (const link of this.links.values()) {
        if (clock.now() - link.lastHeardMs > silenceMs) {
          link.close();
        }
      }
    }
  }
}
