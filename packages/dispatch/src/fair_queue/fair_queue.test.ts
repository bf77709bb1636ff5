import type {
  CallerId,
  KindId,
  RequestId,
  ServiceId,
  TeamId,
} from '@papayarun/protocol';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {FairQueue} from './fair_queue.js';
import type {QueueEntry} from './queue_entry.js';

let entryCount = 0;

function entry(
  kind: string,
  caller = 'c',
  urgency = 1,
  costMs = 100,
): QueueEntry {
  entryCount++;
  return {
    work: {
      requestId: `r${entryCount}` as RequestId,
      service: 's' as ServiceId,
      kind: kind as KindId,
      caller: caller as CallerId,
      team: 't' as TeamId,
      urgency,
      deadlineMs: 1_000,
      repeatable: true,
      path: '/',
      contentType: 'text/plain',
      body: new Uint8Array(),
    },
    queuedMs: 0,
    costMs,
    removed: false,
  };
}

class Fixture {
  readonly started: QueueEntry[] = [];
  readonly queue = FairQueue.create({
    weightOf: kind => (kind === 'hospital' ? 3 : 1),
    hasCapacity: () => true,
    canStart: () => true,
  });

  add(item: QueueEntry): QueueEntry {
    const run = (): Promise<void> => {
      this.started.push(item);
      return Promise.resolve();
    };
    this.queue.enqueue(run, {entry: item});
    return item;
  }

  async drain(count: number): Promise<string[]> {
    for (let i = 0; i < count; i++) {
      await this.queue.dequeue()?.();
    }
    return this.started.map(item => item.work.kind);
  }
}

describe('FairQueue', () => {
  it('shares starts between backlogged kinds by weight', async () => {
    const fixture = new Fixture();
    for (let i = 0; i < 400; i++) {
      fixture.add(entry('street'));
      fixture.add(entry('hospital'));
    }
    const kinds = await fixture.drain(200);
    const hospital = kinds.filter(kind => kind === 'hospital').length;
    expect(hospital).toBeGreaterThanOrEqual(148);
    expect(hospital).toBeLessThanOrEqual(152);
  });

  it('starts an idle kind at once although another kind has a long queue', async () => {
    const fixture = new Fixture();
    for (let i = 0; i < 1_000; i++) {
      fixture.add(entry('street'));
    }
    await fixture.drain(100);
    fixture.add(entry('hospital'));
    const kinds = await fixture.drain(2);
    expect(kinds.slice(100)).toContain('hospital');
  });

  it('starts the most urgent entries first and alternates between callers', async () => {
    const fixture = new Fixture();
    for (let i = 0; i < 10; i++) {
      fixture.add(entry('street', 'loud', 1));
    }
    fixture.add(entry('street', 'quiet', 1));
    fixture.add(entry('street', 'loud', 3));
    await fixture.drain(4);
    expect(fixture.started[0]!.work.urgency).toBe(3);
    expect(fixture.started.slice(1, 4).map(item => item.work.caller)).toContain(
      'quiet',
    );
  });

  it('starts a second entry of a caller although other callers keep adding entries', async () => {
    const fixture = new Fixture();
    fixture.add(entry('street', 'a'));
    const second = fixture.add(entry('street', 'a'));
    for (let i = 0; i < 30; i++) {
      fixture.add(entry('street', `other-${i % 4}`));
      await fixture.drain(1);
    }
    expect(fixture.started.indexOf(second)).toBeGreaterThan(0);
    expect(fixture.started.indexOf(second)).toBeLessThan(10);
  });

  it('starts each entry once and no removed entry', async () => {
    const kinds = fc.constantFrom('street', 'hospital', 'pump');
    const action = fc.record({
      kind: kinds,
      caller: fc.constantFrom('a', 'b'),
      urgency: fc.nat(3),
      remove: fc.nat(3),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(action, {maxLength: 60}), async actions => {
        const fixture = new Fixture();
        const removed = new Set<QueueEntry>();
        const all = actions.map(a =>
          fixture.add(entry(a.kind, a.caller, a.urgency)),
        );
        all.forEach((item, i) => {
          if (actions[i]!.remove === 0) {
            expect(fixture.queue.removeEntry(item)).toBe(true);
            expect(fixture.queue.removeEntry(item)).toBe(false);
            removed.add(item);
          }
        });
        expect(fixture.queue.waiting).toBe(all.length - removed.size);
        await fixture.drain(all.length);
        expect(new Set(fixture.started).size).toBe(all.length - removed.size);
        expect(fixture.started.length).toBe(all.length - removed.size);
        expect(fixture.started.some(item => removed.has(item))).toBe(false);
        expect(fixture.queue.waiting).toBe(0);
      }),
      {seed: 18},
    );
  });
});
