import type {
  DispatchCall,
  InstanceDigest,
  InstanceId,
  KindId,
  Outcome,
  PoolDigest,
  Refusal,
  ServiceId,
  Work,
} from '@papayarun/protocol';
import {
  DispatchError,
  PeerCallError,
  REFUSAL_VERSION,
  refusalForVersion,
} from '@papayarun/protocol';
import {chooseKeeper} from '../choose_keeper/choose_keeper.js';
import type {KeeperCandidate} from '../choose_keeper/keeper_candidate.js';
import {chooseSpillInstance} from '../choose_spill_instance/choose_spill_instance.js';
import type {SpillCandidate} from '../choose_spill_instance/spill_candidate.js';
import {RetryBudget} from '../retry_budget/retry_budget.js';
import {CANCELLED} from './cancelled.js';
import type {RouterOptions} from './router_options.js';
import {WorkOfPeers} from './work_of_peers.js';

/** Routing attempts for one piece of work, the first one included. */
const MAX_ROUTING_ATTEMPTS = 3;
/**
 * Time in milliseconds after the deadline for which a reply of another instance
 * is still awaited.
 */
const REPLY_GRACE_MS = 2_000;

interface PeerCapacity {
  readonly digest: InstanceDigest;
  /**
   * Pieces of work sent there since the digest arrived, by service and by
   * service and kind.
   */
  readonly sentSinceDigest: Map<string, number>;
}

/**
 * Decides which instance runs a piece of work on its targets and forwards the
 * work to it.
 */
export class Router {
  /** Pieces of work forwarded to other instances, for metrics. */
  forwards = 0;
  private readonly peerCapacities = new Map<InstanceId, PeerCapacity>();
  private readonly workOfPeers = WorkOfPeers.create();
  private lastDispatchNumber = 0;
  private readonly retryBudget: RetryBudget;

  private constructor(private readonly opts: RouterOptions) {
    this.retryBudget = RetryBudget.create(opts.retryRatio);
  }

  /**
   * Creates a router and registers it for the dispatch messages of the network.
   *
   * @param opts - Network, membership, keeper and policy.
   * @returns The router.
   * @example
   * const router = Router.create(opts);
   */
  static create(opts: RouterOptions): Router {
    const router = new Router(opts);
    opts.network.onCall('dispatch', (from, req) => router.serve(from, req));
    opts.network.onNotice(
      'cancelDispatch',
      (from, {requestId, dispatchNumber}) =>
        router.workOfPeers.cancel(from, requestId, dispatchNumber),
    );
    return router;
  }

  /** Stores the digest that a peer sent with a heartbeat or a reply. */
  updatePeerDigest(from: InstanceId, digest: InstanceDigest): void {
    this.peerCapacities.set(from, {digest, sentSinceDigest: new Map()});
    const {discovery, membership} = this.opts;
    if (
      discovery.waiting === 0 ||
      !membership.liveInDataCentre().includes(from)
    ) {
      return;
    }
    for (const [service, {slots}] of Object.entries(digest.own)) {
      if (slots > 0) {
        discovery.targetFound(service as ServiceId);
      }
    }
  }

  /** Number of pieces of work that run here for other instances. */
  get inProgressForPeers(): number {
    return this.workOfPeers.size;
  }

  /** Cancels the work of a lost peer, which can no longer receive the answers. */
  cancelWorkOfPeer(peer: InstanceId): void {
    this.workOfPeers.cancelAllOf(peer);
  }

  /** Capacity of this instance and of its whole data centre, by service. */
  digest(): InstanceDigest {
    const own = this.opts.keeper.digests();
    const dataCentre: Record<string, PoolDigest> = {...own};
    for (const id of this.opts.membership.liveInDataCentre()) {
      const digests =
        id === this.opts.network.self
          ? {}
          : (this.peerCapacities.get(id)?.digest.own ?? {});
      for (const [service, digest] of Object.entries(digests)) {
        dataCentre[service] = sumDigests(dataCentre[service], digest);
      }
    }
    return {own, dataCentre};
  }

  /**
   * Runs work on some target of the service.
   *
   * @param work - The work.
   * @param signal - Cancels the work; its reason is a DispatchError.
   * @param opts - Whether the work may spill to another data centre.
   * @returns The outcome; errors are returned as refusals.
   */
  async route(
    work: Work,
    signal: AbortSignal,
    opts: {
      readonly spill: boolean;
    },
  ): Promise<Outcome> {
    if (
      this.opts.isCutOff() &&
      this.opts.policy.whenCutOff(work.service) === 'refuse'
    ) {
      const err = DispatchError.notRun(
        'cutOff',
        `${work.service} is not served while this instance is cut off: its configuration may be old`,
      );
      return {kind: 'refused', refusal: err.refusal};
    }
    this.retryBudget.deposit();
    const startedMs = this.opts.clock.now();
    const triedInstances = new Set<InstanceId>();
    let attempt = 1;
    for (;;) {
      const remainingMs = work.deadlineMs - (this.opts.clock.now() - startedMs);
      const result = await this.routeOnce(
        {...work, deadlineMs: Math.max(1, remainingMs)},
        signal,
        opts,
        triedInstances,
      );
      if (await this.waitForUnknownTarget(result, work, startedMs, signal)) {
        triedInstances.clear();
        continue;
      }
      if (
        attempt === MAX_ROUTING_ATTEMPTS ||
        signal.aborted ||
        !this.mayRouteAgain(result, work)
      ) {
        return result;
      }
      attempt++;
    }
  }

  /**
   * Waits for the first target of a service while this instance may not have
   * heard of all targets yet.
   *
   * @param result - Outcome of the last attempt.
   * @param work - The work.
   * @param startedMs - Monotonic time at which the routing began.
   * @param signal - Cancels the work.
   * @returns Whether the work can be routed to a target that became known.
   */
  private async waitForUnknownTarget(
    result: Outcome,
    work: Work,
    startedMs: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const isWithoutTarget =
      result.kind === 'refused' &&
      result.refusal.code === 'noTargets' &&
      result.refusal.verdict.kind === 'notRun' &&
      this.isWithoutSlots(work.service);
    if (!isWithoutTarget) {
      return false;
    }
    const {clock, discovery} = this.opts;
    const leftMs = work.deadlineMs - (clock.now() - startedMs);
    return discovery.waitForTarget(work.service, leftMs, signal);
  }

  /** Whether no live instance of this data centre has a slot of a service. */
  private isWithoutSlots(service: ServiceId): boolean {
    const {keeper, membership, network} = this.opts;
    return membership.liveInDataCentre().every(id => {
      const digest =
        id === network.self
          ? keeper.allPools().get(service)?.digest()
          : this.peerCapacities.get(id)?.digest.own[service];
      return (digest?.slots ?? 0) === 0;
    });
  }

  private async routeOnce(
    work: Work,
    signal: AbortSignal,
    opts: {
      readonly spill: boolean;
    },
    triedInstances: Set<InstanceId>,
  ): Promise<Outcome> {
    const candidates = this.candidates(work.service, work.kind).filter(
      c => !triedInstances.has(c.instanceId),
    );
    const self = this.opts.network.self;
    const spillInstance =
      opts.spill && work.repeatable
        ? this.findSpillInstance(work, candidates, triedInstances)
        : undefined;
    const chosenInstance =
      spillInstance ?? chooseKeeper(self, candidates) ?? self;
    this.logRoute(
      work,
      chosenInstance,
      candidates,
      spillInstance !== undefined,
    );
    triedInstances.add(chosenInstance);
    if (chosenInstance === self) {
      return this.opts.keeper.run(work, signal);
    }
    return this.forward(
      chosenInstance,
      spillInstance ? 'entry' : 'keeper',
      work,
      signal,
    );
  }

  /**
   * Forwards work to another instance and waits for its reply.
   *
   * @param to - The instance.
   * @param stage - `keeper` to run it on that instance's own targets, `entry` to
   *   treat it as if a caller had sent it to that instance.
   * @param work - The work.
   * @param signal - Cancels the work.
   * @returns The outcome of that instance, or a refusal when no reply came.
   */
  async forward(
    to: InstanceId,
    stage: 'entry' | 'keeper',
    work: Work,
    signal: AbortSignal,
  ): Promise<Outcome> {
    const {network} = this.opts;
    this.countSent(to, work);
    this.forwards++;
    const {requestId} = work;
    const dispatchNumber = ++this.lastDispatchNumber;
    const cancel = (): void => {
      network.notify(to, 'cancelDispatch', {requestId, dispatchNumber});
    };
    if (signal.aborted) {
      return {kind: 'refused', refusal: CANCELLED.refusal};
    }
    signal.addEventListener('abort', cancel);
    try {
      const timeoutMs = work.deadlineMs + REPLY_GRACE_MS;
      const res = await network.call(
        to,
        'dispatch',
        {stage, work, refusalVersion: REFUSAL_VERSION, dispatchNumber},
        {timeoutMs},
      );
      this.updatePeerDigest(to, res.digest);
      return res.outcome;
    } catch (err) {
      return {kind: 'refused', refusal: unansweredRefusal(to, err)};
    } finally {
      signal.removeEventListener('abort', cancel);
    }
  }

  private countSent(to: InstanceId, work: Work): void {
    const sent = this.peerCapacities.get(to)?.sentSinceDigest;
    for (const key of [work.service, `${work.service} ${work.kind}`]) {
      sent?.set(key, (sent.get(key) ?? 0) + 1);
    }
  }

  private async serve(
    from: InstanceId,
    req: DispatchCall['req'],
  ): Promise<DispatchCall['res']> {
    const {stage, work, refusalVersion, dispatchNumber} = req;
    const outcome = await this.workOfPeers.run(
      from,
      work.requestId,
      dispatchNumber,
      signal =>
        stage === 'keeper'
          ? this.opts.keeper.run(work, signal)
          : this.serveEntry(work, signal),
    );
    return {
      outcome:
        outcome.kind === 'answered'
          ? outcome
          : {
              ...outcome,
              refusal: refusalForVersion(outcome.refusal, refusalVersion),
            },
      digest: this.digest(),
    };
  }

  private serveEntry(work: Work, signal: AbortSignal): Promise<Outcome> {
    return work.repeatable
      ? this.route(work, signal, {spill: false})
      : this.opts.runEntry(work, signal);
  }

  private candidates(service: ServiceId, kind: KindId): KeeperCandidate[] {
    const {keeper, membership, network} = this.opts;
    return membership.liveInDataCentre().map(instanceId => {
      const isSelf = instanceId === network.self;
      const peerCapacity = isSelf
        ? undefined
        : this.peerCapacities.get(instanceId);
      const digest = isSelf
        ? keeper.allPools().get(service)?.digest()
        : peerCapacity?.digest.own[service];
      const kindDigest = digest?.kinds[kind];
      return {
        instanceId,
        slots: digest?.slots ?? 0,
        free: Math.max(
          0,
          (digest?.free ?? 0) -
            (peerCapacity?.sentSinceDigest.get(service) ?? 0),
        ),
        workOfKind:
          (kindDigest?.queued ?? 0) +
          (kindDigest?.running ?? 0) +
          (peerCapacity?.sentSinceDigest.get(`${service} ${kind}`) ?? 0),
      };
    });
  }

  /**
   * Finds the linked instance whose data centre has the most free slots, if this data
   * centre has no free slot and at least as much work of the kind as slots.
   */
  private findSpillInstance(
    work: Work,
    localCandidates: readonly KeeperCandidate[],
    triedInstances: ReadonlySet<InstanceId>,
  ): InstanceId | undefined {
    const slots = localCandidates.reduce((sum, c) => sum + c.slots, 0);
    const free = localCandidates.reduce((sum, c) => sum + c.free, 0);
    const workOfKind = localCandidates.reduce(
      (sum, c) => sum + c.workOfKind,
      0,
    );
    if (free > 0 || (slots > 0 && workOfKind < slots)) {
      return undefined;
    }
    const linked = new Set(this.opts.network.connectedPeers());
    const candidates = this.opts.membership
      .livePeers()
      .filter(
        ({instanceId, heartbeat}) =>
          heartbeat.dataCentre !== this.opts.dataCentre &&
          heartbeat.state === 'ready' &&
          !triedInstances.has(instanceId),
      )
      .map(({instanceId}): SpillCandidate => {
        const capacity = this.peerCapacities.get(instanceId);
        const free = capacity?.digest.dataCentre[work.service]?.free ?? 0;
        const sent = capacity?.sentSinceDigest.get(work.service) ?? 0;
        return {
          instanceId,
          free: free - sent,
          isLinked: linked.has(instanceId),
        };
      });
    return chooseSpillInstance(candidates);
  }

  private mayRouteAgain(result: Outcome, work: Work): boolean {
    if (result.kind === 'answered') {
      return false;
    }
    const {verdict, code} = result.refusal;
    const isUnavailable =
      code === 'keeperLost' || code === 'noTargets' || code === 'draining';
    if (verdict.kind === 'notRun') {
      return isUnavailable;
    }
    return isUnavailable && work.repeatable && this.retryBudget.tryWithdraw();
  }

  private logRoute(
    work: Work,
    chosenInstance: InstanceId,
    candidates: readonly KeeperCandidate[],
    spilled: boolean,
  ): void {
    if (!this.opts.log.decisionsEnabled) {
      return;
    }
    this.opts.log.emit('routed', {
      requestId: work.requestId,
      service: work.service,
      kind: work.kind,
      to: chosenInstance,
      spilled,
      alternatives: candidates.map(
        c => `${c.instanceId}:${c.free}/${c.slots}+${c.workOfKind}`,
      ),
    });
  }
}

function unansweredRefusal(to: InstanceId, err: unknown): Refusal {
  if (err instanceof PeerCallError && !err.mayHaveBeenSent) {
    return DispatchError.notRun('keeperLost', `${to} could not be reached`)
      .refusal;
  }
  return DispatchError.mayHaveRun(
    'keeperLost',
    `${to} was lost before it answered`,
  ).refusal;
}

function sumDigests(a: PoolDigest | undefined, b: PoolDigest): PoolDigest {
  if (!a) {
    return b;
  }
  return {
    slots: a.slots + b.slots,
    free: a.free + b.free,
    queued: a.queued + b.queued,
    kinds: {},
    runMs: Math.max(a.runMs, b.runMs),
    largest: maxResources(a.largest, b.largest),
  };
}

function maxResources(
  a: PoolDigest['largest'],
  b: PoolDigest['largest'],
): PoolDigest['largest'] {
  if (!a || !b) {
    return a ?? b;
  }
  return {
    cores: Math.max(a.cores, b.cores),
    memoryMb: Math.max(a.memoryMb, b.memoryMb),
    accelerators: Math.max(a.accelerators, b.accelerators),
  };
}
