import type {PeerAddress} from '@papayarun/membership';
import type {
  DataCentreId,
  InstanceId,
  KnownInstance,
} from '@papayarun/protocol';
import type {ControlState} from '@papayarun/releases';
import type {RosterOptions} from './roster_options.js';

/** Period of asking state instances for others, in milliseconds. */
const REFRESH_MS = 1_000;
const CALL_TIMEOUT_MS = 1_000;
/** Time after which an instance that nobody hears is forgotten, in ms. */
const FORGET_MS = 30_000;

/**
 * Finds the other instances, from a few seeds on.
 *
 * @description Each instance asks one linked state instance a second which
 * instances it has heard. No member list exists anywhere; the voters of the
 * replicated log stand in the log.
 */
export class Roster {
  private readonly known = new Map<
    InstanceId,
    {readonly instance: KnownInstance; seenMs: number}
  >();
  private readonly stopping = new AbortController();
  private turn = 0;
  private seeds: readonly InstanceId[];

  private constructor(private readonly opts: RosterOptions) {
    this.seeds = opts.cfg.seeds;
  }

  /**
   * Makes the roster and answers what others ask of it.
   *
   * @param opts - Names, network and membership.
   * @returns The roster, knowing the seeds.
   * @example
   * const roster = Roster.create(opts);
   * roster.start();
   */
  static create(opts: RosterOptions): Roster {
    const roster = new Roster(opts);
    opts.network.onCall('listInstances', () =>
      Promise.resolve({instances: roster.heard()}),
    );
    return roster;
  }

  start(): void {
    void this.refreshLoop();
  }

  stop(): void {
    this.stopping.abort();
  }

  /** State instances to try for the log: linked ones first. */
  stateInstances(): InstanceId[] {
    const {cfg, network} = this.opts;
    const ids = new Set<InstanceId>(this.seeds);
    for (const {instance} of this.known.values()) {
      if (instance.role === 'state') {
        ids.add(instance.instanceId);
      }
    }
    for (const peer of this.opts.membership().livePeers()) {
      if (peer.heartbeat.role === 'state') {
        ids.add(peer.instanceId);
      }
    }
    if (cfg.role === 'state') {
      ids.add(cfg.instanceId);
    }
    const linked = new Set(network.linked());
    const isNear = (id: InstanceId): boolean =>
      id === cfg.instanceId || linked.has(id);
    return [...ids].sort((a, b) => Number(isNear(b)) - Number(isNear(a)));
  }

  /** Takes other seeds in place of those that it began with. */
  useSeeds(seeds: readonly InstanceId[]): void {
    this.seeds = seeds;
    this.link();
  }

  /** Takes note of instances that were heard of. */
  add(instances: readonly KnownInstance[]): void {
    const nowMs = this.opts.clock.now();
    for (const instance of instances) {
      if (instance.instanceId !== this.opts.cfg.instanceId) {
        this.known.set(instance.instanceId, {instance, seenMs: nowMs});
      }
    }
    this.link();
  }

  /**
   * Takes note of the schedulers that the log names, and links to them without
   * waiting until a state instance tells of them.
   */
  addSchedulers(schedulers: ControlState['schedulers']): void {
    this.add(
      Object.entries(schedulers).map(([dataCentre, {instanceId}]) => ({
        instanceId,
        dataCentre: dataCentre as DataCentreId,
        role: 'entry',
      })),
    );
  }

  /** Keeps the links that are wanted, and drops the others' dialling. */
  link(): void {
    const nowMs = this.opts.clock.now();
    for (const seed of this.seeds) {
      this.opts.network.keepLink(addressOf(seed));
    }
    for (const [id, {instance, seenMs}] of this.known) {
      const isSeed = this.seeds.includes(id);
      if (!isSeed && nowMs - seenMs > FORGET_MS) {
        this.known.delete(id);
        this.opts.network.dropLink(id);
      } else if (this.opts.wants(instance)) {
        this.opts.network.keepLink(addressOf(id));
      }
    }
  }

  private heard(): KnownInstance[] {
    return this.opts
      .membership()
      .livePeers()
      .map(({instanceId, heartbeat}) => ({
        instanceId,
        dataCentre: heartbeat.dataCentre,
        role: heartbeat.role,
      }));
  }

  private async refreshLoop(): Promise<void> {
    const {clock, network} = this.opts;
    while (!this.stopping.signal.aborted) {
      const linked = new Set(network.linked());
      const asked = this.stateInstances().filter(id => linked.has(id));
      const to = asked[this.turn++ % Math.max(1, asked.length)];
      if (to !== undefined) {
        await this.ask(to);
      }
      this.add(this.heard());
      await clock.sleep(
        to === undefined ? REFRESH_MS / 10 : REFRESH_MS,
        this.stopping.signal,
      );
    }
  }

  private async ask(to: InstanceId): Promise<void> {
    try {
      const opts = {timeoutMs: CALL_TIMEOUT_MS};
      const res = await this.opts.network.call(to, 'listInstances', {}, opts);
      this.add(res.instances);
    } catch (err) {
      this.opts.log.emit('linkRefused', {
        peer: to,
        reason: (err as Error).message,
      });
    }
  }
}

function addressOf(id: InstanceId): PeerAddress {
  const at = id.lastIndexOf(':');
  return {
    instanceId: id,
    dataCentre: '' as DataCentreId,
    host: id.slice(0, at),
    port: Number(id.slice(at + 1)),
    replica: false,
  };
}
