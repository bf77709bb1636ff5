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

class Fixture {
  readonly clock = VirtualClock.create();
  readonly handovers: Array<{readonly to: InstanceId; readonly id: string}> =
    [];
  live: InstanceId[] = [A];
  draining = false;
  readonly registry = TargetRegistry.create({
    self: A,
    clock: this.clock,
    timeoutMs: TIMEOUT_MS,
    handoverMs: HANDOVER_MS,
    liveInstances: () => this.live,
    isDraining: () => this.draining,
    forwardAnnouncement: (to, {targetId}) =>
      this.handovers.push({to, id: targetId}),
  });
}

function announcement(
  seq: number,
  overrides: Partial<Announcement> = {},
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
    ...overrides,
  };
}

describe('TargetRegistry', () => {
  it('holds the newest announcement, in whatever order they arrive', () => {
    const shuffled = fc.shuffledSubarray([1, 2, 3, 4, 5, 6, 7, 8], {
      minLength: 8,
    });
    fc.assert(
      fc.property(shuffled, order => {
        const {registry} = new Fixture();
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

  it('ignores announcements of a process that was replaced by another one', () => {
    const {registry} = new Fixture();
    registry.accept(announcement(900));
    expect(registry.accept(announcement(1, {boot: 'b2'}))).toBe(true);
    expect(registry.accept(announcement(901))).toBe(false);
    expect(registry.all()[0]!.announcement.boot).toBe('b2');
  });

  it('removes a target that sent no announcement for longer than the timeout', async () => {
    const {registry, clock} = new Fixture();
    registry.accept(announcement(1));
    await clock.advance(TIMEOUT_MS);
    registry.sweep();
    expect(registry.all().length).toBe(1);
    await clock.advance(1);
    registry.sweep();
    expect(registry.all()).toEqual([]);
  });

  it('ignores a late announcement of a target that has left and was removed', async () => {
    const {registry, clock} = new Fixture();
    registry.accept(announcement(7));
    registry.accept(announcement(9, {state: 'leaving'}));
    await clock.advance(TIMEOUT_MS + 1);
    registry.sweep();
    expect(registry.accept(announcement(8))).toBe(false);
    expect(registry.all()).toEqual([]);
  });

  it('ignores a late announcement of a process whose successor was removed', async () => {
    const {registry, clock} = new Fixture();
    registry.accept(announcement(1));
    registry.accept(announcement(1, {boot: 'b2', state: 'leaving'}));
    await clock.advance(TIMEOUT_MS + 1);
    registry.sweep();
    expect(registry.accept(announcement(2))).toBe(false);
    expect(registry.all()).toEqual([]);
  });

  it('counts the requests in flight of a target that was silent and is heard again', async () => {
    const {registry, clock} = new Fixture();
    registry.accept(announcement(1));
    registry.all()[0]!.inFlight = 3;
    await clock.advance(TIMEOUT_MS + 1);
    registry.sweep();
    expect(registry.accept(announcement(2))).toBe(true);
    expect(registry.all()[0]!).toMatchObject({inFlight: 3, kept: true});
  });

  it('counts no requests of an earlier process for a target that returns', async () => {
    const {registry, clock} = new Fixture();
    registry.accept(announcement(1));
    registry.all()[0]!.inFlight = 3;
    await clock.advance(TIMEOUT_MS + 1);
    registry.sweep();
    expect(registry.accept(announcement(1, {boot: 'b2'}))).toBe(true);
    expect(registry.all()[0]!.inFlight).toBe(0);
    expect(registry.accept(announcement(2))).toBe(false);
  });

  it('forgets a removed target after a while', async () => {
    const {registry, clock} = new Fixture();
    registry.accept(announcement(5));
    await clock.advance(TIMEOUT_MS + 1);
    registry.sweep();
    await clock.advance(60_001);
    registry.sweep();
    expect(registry.accept(announcement(4))).toBe(true);
  });

  it('hands a target over before it stops keeping it, and keeps its targets while it drains', async () => {
    const fixture = new Fixture();
    const ids = Array.from({length: 40}, (_, n) => `t${n}` as TargetId);
    ids.forEach(targetId =>
      fixture.registry.accept(announcement(1, {targetId})),
    );
    expect(fixture.registry.all().every(record => record.kept)).toBe(true);
    fixture.live = [A, B];
    fixture.registry.sweep();
    expect(fixture.handovers.length).toBeGreaterThan(5);
    expect(fixture.registry.all().every(record => record.kept)).toBe(true);
    await fixture.clock.advance(HANDOVER_MS);
    fixture.registry.sweep();
    const kept = fixture.registry.all().filter(record => record.kept).length;
    expect(kept).toBe(ids.length - fixture.handovers.length);
    fixture.live = [B];
    fixture.draining = true;
    fixture.registry.sweep();
    await fixture.clock.advance(2 * HANDOVER_MS);
    fixture.registry.sweep();
    expect(fixture.registry.all().filter(record => record.kept).length).toBe(
      kept,
    );
    expect(fixture.handovers.length).toBe(ids.length);
  });
});
