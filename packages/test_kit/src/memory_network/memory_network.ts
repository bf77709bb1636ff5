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
 * Links between instances in one process, with cuts and random delays.
 */
export class MemoryNetwork {
  private readonly ends = new Map<InstanceId, MemoryNetworkEnd>();
  private readonly cuts = new Set<string>();
  messages = 0;
  /** Part of the messages that are lost at random, 0 to 1. */
  lossRate = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly maxDelayMs: number,
  ) {}

  /**
   * Makes a network without instances.
   *
   * @param clock - Time.
   * @param random - Decides delays.
   * @param maxDelayMs - Longest delay of a message.
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

  /** Links of a process that starts; an earlier one of that name is gone. */
  join(self: InstanceId): MemoryNetworkEnd {
    const end = new MemoryNetworkEnd(this, self);
    this.ends.set(self, end);
    return end;
  }

  /** Ends an instance's process. */
  leave(self: InstanceId): void {
    this.ends.delete(self);
  }

  /** Cuts messages from one instance to another silently, or lets them pass. */
  setCut(from: InstanceId, to: InstanceId, isCut: boolean): void {
    if (isCut) {
      this.cuts.add(`${from} ${to}`);
    } else {
      this.cuts.delete(`${from} ${to}`);
    }
  }

  /** Lets all messages pass. */
  heal(): void {
    this.cuts.clear();
  }

  /** @internal */
  names(): InstanceId[] {
    return [...this.ends.keys()];
  }

  /** Delivers a message, or loses it; resolves when it has arrived.
   * @internal */
  async carry(
    from: MemoryNetworkEnd,
    to: InstanceId,
  ): Promise<MemoryNetworkEnd | undefined> {
    this.messages++;
    await this.clock.sleep(this.random.next() * this.maxDelayMs);
    const isLost = this.random.next() < this.lossRate;
    const isCut = this.cuts.has(`${from.self} ${to}`);
    const isAlive = this.ends.get(from.self) === from;
    const end = this.ends.get(to);
    if (isLost || isCut || !isAlive || !end) {
      return undefined;
    }
    await end.gate.pass();
    return this.ends.get(to) === end ? end : undefined;
  }

  /** @internal */
  sleep(ms: number, signal: AbortSignal): Promise<void> {
    return this.clock.sleep(ms, signal);
  }
}

/**
 * One instance's links.
 */
export class MemoryNetworkEnd implements PeerNetwork {
  /** Holds back what arrives while the process is frozen. */
  readonly gate = Gate.create();
  private readonly calls = new Map<string, CallHandler>();
  private readonly notices = new Map<string, NoticeHandler>();

  /** @internal */
  constructor(
    private readonly network: MemoryNetwork,
    readonly self: InstanceId,
  ) {}

  async call<K extends keyof PeerCalls>(
    to: InstanceId,
    type: K,
    req: PeerCalls[K]['req'],
    opts: {readonly timeoutMs: number; readonly signal?: AbortSignal},
  ): Promise<PeerCalls[K]['res']> {
    const done = new AbortController();
    const late = this.network
      .sleep(opts.timeoutMs, done.signal)
      .then(() => undefined);
    const answer = this.exchange(to, type, copy(req));
    const result = await Promise.race([answer, late]);
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
    const sent = copy(notice);
    void this.network
      .carry(this, to)
      .then(end => end?.notices.get(type)?.(this.self, sent));
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

  connectedPeers(): InstanceId[] {
    return this.network.names().filter(id => id !== this.self);
  }

  private async exchange(
    to: InstanceId,
    type: string,
    req: unknown,
  ): Promise<{readonly value: unknown} | {readonly error: string}> {
    const end = await this.network.carry(this, to);
    const handler = end?.calls.get(type);
    if (!end || !handler) {
      return new Promise<never>(() => undefined);
    }
    let result: {readonly value: unknown} | {readonly error: string};
    try {
      result = {value: copy(await handler(this.self, req))};
    } catch (err) {
      result = {error: (err as Error).message};
    }
    const back = await this.network.carry(end, this.self);
    return back === this ? result : new Promise<never>(() => undefined);
  }
}

/** Encodes and decodes, so that nothing is shared and all can be encoded. */
function copy<T>(value: T): T {
  return decodeMessage(encodeMessage(value)) as T;
}
