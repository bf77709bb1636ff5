import type {
  Clock,
  InstanceId,
  PeerCalls,
  PeerNetwork,
  PeerNotices,
  RandomSource,
} from '@papayarun/protocol';
import {decodeMessage, encodeMessage, PeerCallError} from '@papayarun/protocol';
import {Gate} from '../gate/gate.js';

type CallHandler = (from: InstanceId, req: unknown) => Promise<unknown>;
type NoticeHandler = (from: InstanceId, notice: unknown) => void;

/**
 * In-memory network between instances, with partitions, random delays and
 * message loss.
 */
export class MemoryNetwork {
  private readonly endpoints = new Map<InstanceId, MemoryNetworkEnd>();
  private readonly blockedLinks = new Set<string>();
  /** Number of messages sent, including lost ones. */
  messageCount = 0;
  /** Number of messages sent by type, calls with their replies. */
  readonly messageCounts = new Map<string, number>();
  /** Size of a message above which it is lost, as on a link that limits frames. */
  maxFrameBytes = Infinity;
  /** Fraction of the messages that are lost at random, 0 to 1. */
  lossRate = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly maxDelayMs: number,
  ) {}

  /**
   * Creates a network without instances.
   *
   * @param clock - Clock on which delays and timeouts run.
   * @param random - Decides delays and losses.
   * @param maxDelayMs - Maximum one-way delay of a message in milliseconds.
   * @returns The network.
   * @example
   * const net = MemoryNetwork.create(clock, random, 5);
   */
  static create(
    clock: Clock,
    random: RandomSource,
    maxDelayMs: number,
  ): MemoryNetwork {
    return new MemoryNetwork(clock, random, maxDelayMs);
  }

  /**
   * Connects a new process; it replaces an earlier process of the same
   * instance.
   */
  join(self: InstanceId): MemoryNetworkEnd {
    const endpoint = new MemoryNetworkEnd(this, self);
    this.endpoints.set(self, endpoint);
    return endpoint;
  }

  /** Disconnects an instance, as when its process ends. */
  leave(self: InstanceId): void {
    this.endpoints.delete(self);
  }

  /**
   * Starts or stops silently dropping messages from one instance to another.
   */
  setCut(from: InstanceId, to: InstanceId, isCut: boolean): void {
    if (isCut) {
      this.blockedLinks.add(`${from} ${to}`);
    } else {
      this.blockedLinks.delete(`${from} ${to}`);
    }
  }

  /** Removes all partitions. */
  heal(): void {
    this.blockedLinks.clear();
  }

  /**
   * Ids of the connected instances.
   * @internal
   */
  instanceIds(): InstanceId[] {
    return [...this.endpoints.keys()];
  }

  /**
   * Delivers a message after a random delay and resolves to the receiving
   * endpoint, or to undefined when the message is lost.
   * @internal
   */
  async deliver(
    from: MemoryNetworkEnd,
    to: InstanceId,
    type: string,
    bytes: number,
  ): Promise<MemoryNetworkEnd | undefined> {
    this.messageCount++;
    this.messageCounts.set(type, (this.messageCounts.get(type) ?? 0) + 1);
    await this.clock.sleep(this.random.next() * this.maxDelayMs);
    const isLost =
      this.random.next() < this.lossRate || bytes > this.maxFrameBytes;
    const isCut = this.blockedLinks.has(`${from.self} ${to}`);
    const isAlive = this.endpoints.get(from.self) === from;
    const endpoint = this.endpoints.get(to);
    if (isLost || isCut || !isAlive || !endpoint) {
      return undefined;
    }
    await endpoint.gate.pass();
    return this.endpoints.get(to) === endpoint ? endpoint : undefined;
  }

  /** @internal */
  sleep(ms: number, signal: AbortSignal): Promise<void> {
    return this.clock.sleep(ms, signal);
  }
}

/**
 * Connection of one instance to the network.
 */
export class MemoryNetworkEnd implements PeerNetwork {
  /**
   * Closed while the process is frozen; arriving messages wait until it opens.
   */
  readonly gate = Gate.create();
  private hasEnded = false;
  private readonly callHandlers = new Map<string, CallHandler>();
  private readonly noticeHandlers = new Map<string, NoticeHandler>();

  /** @internal */
  constructor(
    private readonly network: MemoryNetwork,
    readonly self: InstanceId,
  ) {}

  /** Ends the process: it sends nothing more; what it has sent still arrives. */
  end(): void {
    this.hasEnded = true;
  }

  async call<K extends keyof PeerCalls>(
    to: InstanceId,
    type: K,
    req: PeerCalls[K]['req'],
    opts: {readonly timeoutMs: number; readonly signal?: AbortSignal},
  ): Promise<PeerCalls[K]['res']> {
    const done = new AbortController();
    const timeout = this.network
      .sleep(opts.timeoutMs, done.signal)
      .then(() => undefined);
    const reply = this.sendCall(to, type, encodeMessage(req));
    const result = await Promise.race([reply, timeout]);
    done.abort();
    if (!result) {
      throw PeerCallError.create(true, `${type} to ${to} timed out`);
    }
    if ('error' in result) {
      throw PeerCallError.create(true, result.error);
    }
    return result.value as PeerCalls[K]['res'];
  }

  notify<K extends keyof PeerNotices>(
    to: InstanceId,
    type: K,
    notice: PeerNotices[K],
  ): void {
    if (this.hasEnded) {
      return;
    }
    const bytes = encodeMessage(notice);
    void this.network
      .deliver(this, to, type, bytes.length)
      .then(endpoint =>
        endpoint?.noticeHandlers.get(type)?.(this.self, decodeMessage(bytes)),
      );
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
    return this.network.instanceIds().filter(id => id !== this.self);
  }

  private async sendCall(
    to: InstanceId,
    type: string,
    req: Uint8Array,
  ): Promise<{readonly value: unknown} | {readonly error: string}> {
    const endpoint = this.hasEnded
      ? undefined
      : await this.network.deliver(this, to, type, req.length);
    const handler = endpoint?.callHandlers.get(type);
    if (!endpoint || !handler) {
      return new Promise<never>(() => undefined);
    }
    let result: {readonly value: unknown} | {readonly error: string};
    let resultBytes = 0;
    try {
      const value = encodeMessage(await handler(this.self, decodeMessage(req)));
      result = {value: decodeMessage(value)};
      resultBytes = value.length;
    } catch (err) {
      result = {error: (err as Error).message};
    }
    const replyEndpoint = endpoint.hasEnded
      ? undefined
      : await this.network.deliver(endpoint, this.self, type, resultBytes);
    return replyEndpoint === this
      ? result
      : new Promise<never>(() => undefined);
  }
}
