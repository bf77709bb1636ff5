import type {
  Announcement,
  InstanceId,
  ServiceId,
  TargetId,
} from '@papayarun/protocol';
import {VirtualClock} from '@papayarun/test_kit';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {TargetRegistry} from './target_registry.js';

const A = 'a' as InstanceId;
const B = 'b' as InstanceId;
const TIMEOUT_MS = 3_000;
const HANDOVER_MS = 500;

class Bench {
  readonly clock = VirtualClock.create();
  readonly handed: Array<{readonly to: InstanceId; readonly id: string}> = [];
  live: InstanceId[] = [A];
  draining = false;
  readonly registry = TargetRegistry.create({
    self: A,
    clock: this.clock,
    timeoutMs: TIMEOUT_MS,
    handoverMs: HANDOVER_MS,
    live: () => this.live,
    isDraining: () => this.draining,
    sendTo: (to, {targetId}) => this.handed.push({to, id: targetId}),
  });
}

function announcement(
  seq: number,
  over: Partial<Announcement> = {},
): Announcement {
  return {
    targetId: 'runner' as TargetId,
    boot: 'b1',
    seq,
    state: 'ready',
    service: 'booking' as ServiceId,
    url: 'http://127.0.0.1:1',
    slots: 8,
    connections: 60,
    ...over,
  };
}

describe('TargetRegistry', () => {
  it('ends with the newest announcement, whatever order they come in', () => {
    const shuffled = fc.shuffledSubarray([1, 2, 3, 4, 5, 6, 7, 8], {
      minLength: 8,
    });
    fc.assert(
      fc.property(shuffled, order => {
        const {registry} = new Bench();
        for (const seq of order) {
          registry.accept(
            announcement(seq, {state: seq === 8 ? 'leaving' : 'ready'}),
          );
        }
        expect(registry.all()[0]!.announcement).toMatchObject({
          seq: 8,
          state: 'leaving',
        });
      }),
      {seed: 71},
    );
  });

  it('takes nothing from a process that another one has replaced', () => {
    const {registry} = new Bench();
    registry.accept(announcement(900));
    expect(registry.accept(announcement(1, {boot: 'b2'}))).toBe(true);
    expect(registry.accept(announcement(901))).toBe(false);
    expect(registry.all()[0]!.announcement.boot).toBe('b2');
  });

  it('drops a target that was silent for the timeout', async () => {
    const {registry, clock} = new Bench();
    registry.accept(announcement(1));
    await clock.advance(TIMEOUT_MS);
    registry.sweep();
    expect(registry.all().length).toBe(1);
    await clock.advance(1);
    registry.sweep();
    expect(registry.all()).toEqual([]);
  });

  it('hands a target over before it lets go of it, and keeps it while it drains', async () => {
    const bench = new Bench();
    const ids = Array.from({length: 40}, (_, n) => `t${n}` as TargetId);
    ids.forEach(targetId => bench.registry.accept(announcement(1, {targetId})));
    expect(bench.registry.all().every(record => record.kept)).toBe(true);
    bench.live = [A, B];
    bench.registry.sweep();
    expect(bench.handed.length).toBeGreaterThan(5);
    expect(bench.registry.all().every(record => record.kept)).toBe(true);
    await bench.clock.advance(HANDOVER_MS);
    bench.registry.sweep();
    const kept = bench.registry.all().filter(record => record.kept).length;
    expect(kept).toBe(ids.length - bench.handed.length);
    bench.live = [B];
    bench.draining = true;
    bench.registry.sweep();
    await bench.clock.advance(2 * HANDOVER_MS);
    bench.registry.sweep();
    expect(bench.registry.all().filter(record => record.kept).length).toBe(
      kept,
    );
    expect(bench.handed.length).toBe(ids.length);
  });
});
