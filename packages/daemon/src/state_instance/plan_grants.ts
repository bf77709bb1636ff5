import type {DataCentreId, InstanceId, ShardId} from '@papayarun/protocol';
import {dataCentreOfShard, shardIdOf} from '@papayarun/protocol';
import type {ControlState, SchedulerGrant} from '@papayarun/releases';
import type {EntryCandidate} from './entry_candidate.js';
import type {GrantConditions} from './grant_conditions.js';
import type {PlannedGrant} from './planned_grant.js';
import {targetsPerShard} from './targets_per_shard.js';

/**
 * Plans which entry instances schedule the shards of a data centre.
 *
 * @description A holder keeps its shards while it is alive in the granted
 * incarnation and doesn't drain. Other shards go to the ready and linked instances
 * that hold the fewest. A shard is added when all are full. If a ready instance holds
 * none while another one holds several, one shard is moved to it.
 * @param state - Grants and shards of targets in force.
 * @param dataCentre - The data centre.
 * @param candidates - Its live entry instances.
 * @param conditions - What else is known of the instances.
 * @returns Grants to propose, at most one a shard.
 * @throws Never.
 * @example
 * planGrants(EMPTY_CONTROL_STATE, 'centro' as DataCentreId, [entry], {
 *   mayReplaceSilent: true,
 *   hasEnded: () => false,
 *   isLinked: () => true,
 * });
 */
export function planGrants(
  state: Pick<ControlState, 'schedulers' | 'targetShards'>,
  dataCentre: DataCentreId,
  candidates: readonly EntryCandidate[],
  {mayReplaceSilent, hasEnded, isLinked}: GrantConditions,
): PlannedGrant[] {
  const current = grantsOf(state, dataCentre);
  // An instance whose link was just lost may have died with the holder.
  const holders = HolderCounts.create(
    candidates.filter(entry => isLinked(entry.instanceId)),
  );
  const vacant: ShardId[] = [];
  for (const [shard, grant] of current) {
    const holder = candidates.find(
      entry => entry.instanceId === grant.instanceId,
    );
    if (holder?.boot === grant.boot && holder.state !== 'draining') {
      holders.add(grant.instanceId);
    } else if (holder || mayReplaceSilent || hasEnded(grant)) {
      vacant.push(shard);
    } else {
      holders.add(grant.instanceId);
    }
  }
  if (needsShard(state, dataCentre, candidates, current.size)) {
    vacant.push(shardIdOf(dataCentre, current.size));
  }
  const grants: PlannedGrant[] = [];
  for (const shard of vacant) {
    const next = holders.takeLeastLoaded(shard, current.get(shard)?.instanceId);
    if (next) {
      grants.push(grantTo(next, shard, current.get(shard)));
    }
  }
  return grants.length === 0 && mayReplaceSilent
    ? rebalance(current, holders)
    : grants;
}

function grantsOf(
  state: Pick<ControlState, 'schedulers'>,
  dataCentre: DataCentreId,
): Map<ShardId, SchedulerGrant> {
  const grants = new Map<ShardId, SchedulerGrant>();
  for (const [id, grant] of Object.entries(state.schedulers)) {
    const shard = id as ShardId;
    if (dataCentreOfShard(shard) === dataCentre) {
      grants.set(shard, grant);
    }
  }
  return grants;
}

function needsShard(
  state: Pick<ControlState, 'targetShards'>,
  dataCentre: DataCentreId,
  candidates: readonly EntryCandidate[],
  shardCount: number,
): boolean {
  if (shardCount === 0) {
    return true;
  }
  const targets = Object.values(state.targetShards).filter(
    shard => dataCentreOfShard(shard) === dataCentre,
  ).length;
  return targets >= shardCount * targetsPerShard(candidates, shardCount);
}

/** Moves a shard from a holder of several to an instance that holds none. */
function rebalance(
  current: ReadonlyMap<ShardId, SchedulerGrant>,
  holders: HolderCounts,
): PlannedGrant[] {
  for (const [shard, grant] of current) {
    if (holders.countOf(grant.instanceId) > 1) {
      const idle = holders.takeIdle(shard);
      return idle ? [grantTo(idle, shard, grant)] : [];
    }
  }
  return [];
}

function grantTo(
  {instanceId, boot}: EntryCandidate,
  shard: ShardId,
  current: SchedulerGrant | undefined,
): PlannedGrant {
  return {shard, fromToken: current?.token ?? 0, instanceId, boot};
}

/** Numbers of shards that the instances hold. */
class HolderCounts {
  private readonly counts = new Map<InstanceId, number>();

  private constructor(private readonly ready: readonly EntryCandidate[]) {}

  static create(candidates: readonly EntryCandidate[]): HolderCounts {
    const ready = candidates
      .filter(({state}) => state === 'ready')
      .sort((a, b) => (a.instanceId < b.instanceId ? -1 : 1));
    return new HolderCounts(ready);
  }

  countOf(instance: InstanceId): number {
    return this.counts.get(instance) ?? 0;
  }

  add(instance: InstanceId): void {
    this.counts.set(instance, this.countOf(instance) + 1);
  }

  /**
   * Takes the instance with the fewest shards; other instances than the former
   * holder are preferred, since a restarted one has lost its connections.
   */
  takeLeastLoaded(
    shard: ShardId,
    former: InstanceId | undefined,
  ): EntryCandidate | undefined {
    const able = this.ready.filter(entry => canHold(entry, shard));
    const others = able.filter(entry => entry.instanceId !== former);
    const preferred = others.length > 0 ? others : able;
    const fewest = Math.min(
      ...preferred.map(entry => this.countOf(entry.instanceId)),
    );
    const chosen = preferred.find(
      entry => this.countOf(entry.instanceId) === fewest,
    );
    if (chosen) {
      this.add(chosen.instanceId);
    }
    return chosen;
  }

  takeIdle(shard: ShardId): EntryCandidate | undefined {
    return this.ready.find(
      entry => this.countOf(entry.instanceId) === 0 && canHold(entry, shard),
    );
  }
}

/** Instances of versions without shards schedule the first one only. */
function canHold(entry: EntryCandidate, shard: ShardId): boolean {
  return (
    entry.maxTargets !== undefined ||
    shard === (dataCentreOfShard(shard) as string)
  );
}
