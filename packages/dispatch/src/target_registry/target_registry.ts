import type {
  Announcement,
  Clock,
  InstanceId,
  TargetId,
} from '@papayarun/protocol';
import {rendezvousOrder} from '@papayarun/protocol';
import {HEALTHY} from '../target_health/healthy.js';
import type {TargetRecord} from './target_record.js';

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

  private constructor(
    private readonly self: InstanceId,
    private readonly clock: Clock,
    private readonly timeoutMs: number,
    private readonly live: () => readonly InstanceId[],
  ) {}

  /**
   * Makes an empty registry.
   *
   * @param self - This instance.
   * @param clock - Time.
   * @param timeoutMs - Silence after which a target expires.
   * @param live - Live instances of this data centre.
   * @returns The registry.
   * @example
   * const registry = TargetRegistry.create(self, clock, 3000, () => live);
   */
  static create(
    self: InstanceId,
    clock: Clock,
    timeoutMs: number,
    live: () => readonly InstanceId[],
  ): TargetRegistry {
    return new TargetRegistry(self, clock, timeoutMs, live);
  }

  /** Calls back after a record was added, changed, or stopped being kept. */
  onChange(listener: (record: TargetRecord) => void): void {
    this.listeners.push(listener);
  }

  /** Keeper first, then the instance that stands by. */
  keepersOf(id: TargetId): InstanceId[] {
    return rendezvousOrder(id, this.live()).slice(0, 2);
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
        heardMs: this.clock.now(),
        kept: this.keepersOf(id)[0] === this.self,
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
    known.heardMs = this.clock.now();
    known.kept = this.keepersOf(id)[0] === this.self;
    this.changed(known);
    return true;
  }

  /** Drops silent targets and takes over those whose keeper has changed. */
  sweep(): void {
    const nowMs = this.clock.now();
    for (const record of [...this.records.values()]) {
      if (nowMs - record.heardMs > this.timeoutMs) {
        this.records.delete(record.id);
        record.kept = false;
        this.changed(record);
        continue;
      }
      const kept = this.keepersOf(record.id)[0] === this.self;
      const back =
        record.health.kind === 'ejected' && nowMs >= record.health.untilMs;
      if (back && record.health.kind === 'ejected') {
        const {ejections} = record.health;
        record.health = {kind: 'probation', successesInRow: 0, ejections};
      }
      if (kept !== record.kept || back) {
        record.kept = kept;
        this.changed(record);
      }
    }
  }

  all(): TargetRecord[] {
    return [...this.records.values()];
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
