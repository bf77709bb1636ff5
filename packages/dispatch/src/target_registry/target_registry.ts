import type {Announcement, InstanceId, TargetId} from '@papayarun/protocol';
import {rendezvousOrder} from '@papayarun/protocol';
import {HEALTHY} from '../target_health/healthy.js';
import type {TargetRecord} from './target_record.js';
import type {TargetRegistryOptions} from './target_registry_options.js';

const MAX_PAST_BOOTS = 4;
const NOTHING = {cores: 0, memoryMb: 0, accelerators: 0};

/**
 * Targets and workers that this instance keeps or stands by for.
 *
 * @description Each target is kept by the first live instance of its data
 * centre in rendezvous order; the second one stands by with the same record.
 */
export class TargetRegistry {
  private readonly records = new Map<TargetId, TargetRecord>();
  private readonly listeners: Array<(record: TargetRecord) => void> = [];

  private constructor(private readonly opts: TargetRegistryOptions) {}

  /**
   * Makes an empty registry.
   *
   * @param opts - Names, clock, timeouts and who is live.
   * @returns The registry.
   * @example
   * const registry = TargetRegistry.create(opts);
   */
  static create(opts: TargetRegistryOptions): TargetRegistry {
    return new TargetRegistry(opts);
  }

  /** Calls back after a record was added, changed, or stopped being kept. */
  onChange(listener: (record: TargetRecord) => void): void {
    this.listeners.push(listener);
  }

  /** Keeper first, then the instance that stands by. */
  keepersOf(id: TargetId): InstanceId[] {
    return rendezvousOrder(id, this.opts.live()).slice(0, 2);
  }

  /**
   * Takes an announcement.
   *
   * @param announcement - What the target tells.
   * @returns False when it is older than what is known.
   */
  accept(announcement: Announcement): boolean {
    const id = announcement.targetId;
    const known = this.records.get(id);
    if (!known) {
      const record: TargetRecord = {
        id,
        announcement,
        heardMs: this.opts.clock.now(),
        kept: this.isFirstFor(id),
        handoverMs: undefined,
        health: HEALTHY,
        inFlight: 0,
        placed: NOTHING,
        busyUntilMs: 0,
        pastBoots: [],
      };
      this.records.set(id, record);
      this.changed(record);
      return true;
    }
    if (isStale(known, announcement)) {
      return false;
    }
    if (known.announcement.boot !== announcement.boot) {
      known.pastBoots.push(known.announcement.boot);
      known.pastBoots.splice(0, known.pastBoots.length - MAX_PAST_BOOTS);
      known.health = HEALTHY;
    }
    known.announcement = announcement;
    known.heardMs = this.opts.clock.now();
    this.updateKept(known);
    this.changed(known);
    return true;
  }

  /** Drops silent targets and takes over those whose keeper has changed. */
  sweep(): void {
    const nowMs = this.opts.clock.now();
    for (const record of [...this.records.values()]) {
      if (nowMs - record.heardMs > this.opts.timeoutMs) {
        this.records.delete(record.id);
        record.kept = false;
        this.changed(record);
        continue;
      }
      const changes = this.updateKept(record);
      if (this.endEjection(record, nowMs) || changes) {
        this.changed(record);
      }
    }
  }

  all(): TargetRecord[] {
    return [...this.records.values()];
  }

  private isFirstFor(id: TargetId): boolean {
    return this.keepersOf(id)[0] === this.opts.self;
  }

  /**
   * Decides whether a target is kept here; says whether that changed.
   *
   * @description A keeper that is no longer the first hands the target over
   * and goes on for a moment: two keepers cost capacity, none would cost
   * requests. While this instance drains it keeps what it has.
   */
  private updateKept(record: TargetRecord): boolean {
    const before = record.kept;
    if (this.isFirstFor(record.id)) {
      record.kept = true;
      record.handoverMs = undefined;
    } else if (record.kept) {
      record.kept = this.handOver(record);
    }
    return record.kept !== before;
  }

  private handOver(record: TargetRecord): boolean {
    const nowMs = this.opts.clock.now();
    if (record.handoverMs === undefined) {
      record.handoverMs = nowMs;
      const next = this.keepersOf(record.id)[0];
      if (next !== undefined) {
        this.opts.sendTo(next, record.announcement);
      }
    }
    return (
      this.opts.isDraining() || nowMs - record.handoverMs < this.opts.handoverMs
    );
  }

  /** Puts an ejected target on probation once its time is over. */
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

  private changed(record: TargetRecord): void {
    for (const listener of this.listeners) {
      listener(record);
    }
  }
}

function isStale(known: TargetRecord, announcement: Announcement): boolean {
  if (known.announcement.boot === announcement.boot) {
    return announcement.seq <= known.announcement.seq;
  }
  return known.pastBoots.includes(announcement.boot);
}
