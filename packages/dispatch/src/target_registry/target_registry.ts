import type {Announcement, InstanceId, TargetId} from '@papayarun/protocol';
import {rendezvousOrder} from '@papayarun/protocol';
import {HEALTHY} from '../target_health/healthy.js';
import type {TargetRecord} from './target_record.js';
import type {TargetRegistryOptions} from './target_registry_options.js';

/** Earlier boots remembered per target. */
const MAX_PAST_BOOTS = 4;
/**
 * Time for which the record of a removed target is kept, in milliseconds: late
 * announcements may still arrive, and its requests may still run.
 */
const REMOVED_TTL_MS = 60_000;
const NO_RESOURCES = {cores: 0, memoryMb: 0, accelerators: 0};

/**
 * Targets and workers for which this instance is the keeper or the standby.
 *
 * @description The keeper of a target is the first live instance of its data
 * centre in rendezvous order. The second one is the standby and holds the same
 * record.
 */
export class TargetRegistry {
  private readonly records = new Map<TargetId, TargetRecord>();
  private readonly removed = new Map<
    TargetId,
    {readonly record: TargetRecord; readonly removedMs: number}
  >();
  private readonly listeners: Array<(record: TargetRecord) => void> = [];

  private constructor(private readonly opts: TargetRegistryOptions) {}

  /**
   * Creates an empty registry.
   *
   * @param opts - Own id, clock, timeouts and the live instances.
   * @returns The registry.
   * @example
   * const registry = TargetRegistry.create(opts);
   */
  static create(opts: TargetRegistryOptions): TargetRegistry {
    return new TargetRegistry(opts);
  }

  /**
   * Registers a listener that is called after a record was added or changed, or
   * stopped being kept.
   */
  onChange(listener: (record: TargetRecord) => void): void {
    this.listeners.push(listener);
  }

  /** The keeper of a target, followed by the standby. */
  keepersOf(id: TargetId): InstanceId[] {
    return rendezvousOrder(id, this.opts.liveInstances()).slice(0, 2);
  }

  /**
   * Applies an announcement of a target.
   *
   * @param announcement - The announcement.
   * @returns False when it is stale and was ignored.
   */
  accept(announcement: Announcement): boolean {
    const existing = this.records.get(announcement.targetId);
    if (!existing) {
      return this.add(announcement);
    }
    if (isStale(existing, announcement)) {
      return false;
    }
    if (existing.announcement.boot !== announcement.boot) {
      existing.pastBoots = bootsOf(existing);
      existing.health = HEALTHY;
    }
    existing.announcement = announcement;
    existing.lastAnnouncedMs = this.opts.clock.now();
    this.updateKept(existing);
    this.notifyListeners(existing);
    return true;
  }

  /**
   * Adds a target, unless the announcement is stale and the target was removed
   * lately.
   */
  private add(announcement: Announcement): boolean {
    const id = announcement.targetId;
    const removed = this.removed.get(id)?.record;
    if (removed && isStale(removed, announcement)) {
      return false;
    }
    this.removed.delete(id);
    const record =
      removed?.announcement.boot === announcement.boot
        ? removed
        : newRecord(announcement, removed ? bootsOf(removed) : []);
    record.announcement = announcement;
    record.lastAnnouncedMs = this.opts.clock.now();
    record.kept = this.isKeeperOf(id);
    record.handoverStartedMs = undefined;
    this.records.set(id, record);
    this.notifyListeners(record);
    return true;
  }

  /**
   * Removes targets without recent announcements, updates which targets this
   * instance keeps, and ends ejections whose time is over.
   */
  sweep(): void {
    const nowMs = this.opts.clock.now();
    for (const [id, {removedMs}] of this.removed) {
      if (nowMs - removedMs > REMOVED_TTL_MS) {
        this.removed.delete(id);
      }
    }
    for (const record of [...this.records.values()]) {
      if (nowMs - record.lastAnnouncedMs > this.opts.timeoutMs) {
        this.records.delete(record.id);
        this.removed.set(record.id, {record, removedMs: nowMs});
        record.kept = false;
        this.notifyListeners(record);
        continue;
      }
      const keptChanged = this.updateKept(record);
      if (this.endEjection(record, nowMs) || keptChanged) {
        this.notifyListeners(record);
      }
    }
  }

  all(): TargetRecord[] {
    return [...this.records.values()];
  }

  private isKeeperOf(id: TargetId): boolean {
    return this.keepersOf(id)[0] === this.opts.self;
  }

  /**
   * Updates whether this instance keeps a target; returns whether that changed.
   *
   * @description A keeper that is no longer first in the order hands the target
   * over and continues for `handoverMs`: two keepers at a time only cost
   * capacity, while a time without a keeper would lose requests. A draining
   * instance keeps its targets.
   */
  private updateKept(record: TargetRecord): boolean {
    const before = record.kept;
    if (this.isKeeperOf(record.id)) {
      record.kept = true;
      record.handoverStartedMs = undefined;
    } else if (record.kept) {
      record.kept = this.handOver(record);
    }
    return record.kept !== before;
  }

  private handOver(record: TargetRecord): boolean {
    const nowMs = this.opts.clock.now();
    if (record.handoverStartedMs === undefined) {
      record.handoverStartedMs = nowMs;
      const newKeeper = this.keepersOf(record.id)[0];
      if (newKeeper !== undefined) {
        this.opts.forwardAnnouncement(newKeeper, record.announcement);
      }
    }
    return (
      this.opts.isDraining() ||
      nowMs - record.handoverStartedMs < this.opts.handoverMs
    );
  }

  /** Puts an ejected target on probation once its ejection time is over. */
  private endEjection(record: TargetRecord, nowMs: number): boolean {
    const {health} = record;
    if (health.kind !== 'ejected' || nowMs < health.untilMs) {
      return false;
    }
    record.health = {
      kind: 'probation',
      successesInRow: 0,
      ejections: health.ejections,
    };
    return true;
  }

  private notifyListeners(record: TargetRecord): void {
    for (const listener of this.listeners) {
      listener(record);
    }
  }
}

function newRecord(
  announcement: Announcement,
  pastBoots: readonly string[],
): TargetRecord {
  return {
    id: announcement.targetId,
    announcement,
    lastAnnouncedMs: 0,
    kept: false,
    handoverStartedMs: undefined,
    health: HEALTHY,
    inFlight: 0,
    placed: NO_RESOURCES,
    busyUntilMs: 0,
    pastBoots,
  };
}

/** Boots of a target up to its present one, the latest last. */
function bootsOf({announcement, pastBoots}: TargetRecord): string[] {
  return [...pastBoots, announcement.boot].slice(-MAX_PAST_BOOTS);
}

function isStale(existing: TargetRecord, announcement: Announcement): boolean {
  if (existing.announcement.boot === announcement.boot) {
    return announcement.seq <= existing.announcement.seq;
  }
  return existing.pastBoots.includes(announcement.boot);
}
