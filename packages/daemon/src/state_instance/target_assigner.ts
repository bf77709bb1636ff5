import type {DataCentreId, ShardId, TargetId} from '@papayarun/protocol';
import {dataCentreOfShard, shardIdOf} from '@papayarun/protocol';
import {entryCandidates} from './entry_candidates.js';
import type {TargetAssignerOptions} from './target_assigner_options.js';
import {targetsPerShard} from './targets_per_shard.js';

/** Interval at which new targets are assigned together, in milliseconds. */
const ASSIGN_INTERVAL_MS = 100;
/**
 * Time after the start in which heartbeats of all live peers arrive, in
 * milliseconds.
 */
const HEARING_MS = 3_000;
/** Most targets that one command of the log assigns. */
const MAX_TARGETS_PER_COMMAND = 500;

/**
 * Has the log assign targets that reported here to shards.
 */
export class TargetAssigner {
  private readonly pending = new Map<TargetId, DataCentreId>();
  private readonly stopping = new AbortController();
  private isStarted = false;
  private startedMs = Infinity;
  private isLooping = false;

  private constructor(private readonly opts: TargetAssignerOptions) {}

  /**
   * Creates an assigner.
   *
   * @param opts - Log, membership and callback.
   * @returns The assigner, not started.
   * @example
   * TargetAssigner.create(opts).start();
   */
  static create(opts: TargetAssignerOptions): TargetAssigner {
    return new TargetAssigner(opts);
  }

  start(): void {
    this.isStarted = true;
    this.startedMs = this.opts.clock.now();
    void this.loop();
  }

  stop(): void {
    this.stopping.abort();
  }

  /**
   * Finds the shard of a target, and has the target assigned if it has none.
   *
   * @param targetId - The target.
   * @param dataCentre - Its data centre.
   * @returns The shard; undefined until the log has assigned one.
   */
  shardOf(targetId: TargetId, dataCentre: DataCentreId): ShardId | undefined {
    const shard = this.opts.store.state.targetShards[targetId];
    if (shard !== undefined) {
      return shard;
    }
    if (!this.canAssign() && this.hasHeardAll()) {
      return shardIdOf(dataCentre, 0);
    }
    this.pending.set(targetId, dataCentre);
    if (this.isStarted && !this.isLooping) {
      void this.loop();
    }
    return undefined;
  }

  /**
   * Whether all instances know the command that assigns targets; one of an
   * earlier version would fail to apply it.
   */
  private canAssign(): boolean {
    const {store, membership, self, stateInstances} = this.opts;
    if (Object.keys(store.state.targetShards).length > 0) {
      // Such a command has been committed before.
      return true;
    }
    const able = new Map(
      membership
        .livePeers()
        .map(({instanceId, heartbeat}) => [
          instanceId,
          heartbeat.maxTargets !== undefined,
        ]),
    );
    return (
      this.hasHeardAll() &&
      stateInstances().every(id => id === self || able.get(id)) &&
      [...able.values()].every(isAble => isAble)
    );
  }

  /** Whether this instance has run long enough to have heard all live peers. */
  private hasHeardAll(): boolean {
    return this.opts.clock.now() - this.startedMs >= HEARING_MS;
  }

  /** Assigns targets until none is pending. */
  private async loop(): Promise<void> {
    const {signal} = this.stopping;
    this.isLooping = true;
    while (!signal.aborted && this.pending.size > 0) {
      await this.opts.clock.sleep(ASSIGN_INTERVAL_MS, signal);
      const byDataCentre = new Map<DataCentreId, TargetId[]>();
      for (const [targetId, dataCentre] of this.pending) {
        const targetIds = byDataCentre.get(dataCentre) ?? [];
        if (targetIds.length < MAX_TARGETS_PER_COMMAND) {
          targetIds.push(targetId);
        }
        byDataCentre.set(dataCentre, targetIds);
      }
      await Promise.all(
        [...byDataCentre].map(([dataCentre, targetIds]) =>
          this.assign(dataCentre, targetIds),
        ),
      );
    }
    this.isLooping = false;
  }

  private async assign(
    dataCentre: DataCentreId,
    targetIds: readonly TargetId[],
  ): Promise<void> {
    const {store, membership, log, onAssigned} = this.opts;
    const candidates = entryCandidates(membership).get(dataCentre) ?? [];
    const shardCount = Object.keys(store.state.schedulers).filter(
      shard => dataCentreOfShard(shard as ShardId) === dataCentre,
    ).length;
    if (shardCount === 0 || !this.canAssign()) {
      return;
    }
    try {
      const result = await this.opts.control().propose({
        kind: 'assignTargets',
        dataCentre,
        targetIds,
        maxTargetsPerShard: targetsPerShard(candidates, shardCount),
      });
      const shards = result.kind === 'targets' ? result.shards : {};
      for (const [id, shard] of Object.entries(shards)) {
        const targetId = id as TargetId;
        this.pending.delete(targetId);
        onAssigned(targetId, shard);
      }
      log.emit('targetsAssigned', {
        dataCentre,
        asked: targetIds.length,
        shards,
      });
    } catch (err) {
      log.emit('targetsAssigned', {
        dataCentre,
        asked: targetIds.length,
        err: (err as Error).message,
      });
    }
  }
}
