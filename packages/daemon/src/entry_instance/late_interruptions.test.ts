import type {InstanceId, JobId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {EntryGroup} from './_test/entry_group.js';
import {
  CENTRO,
  JOB,
  OTHER_ENTRIES,
  SCHEDULERS,
  STATE_INSTANCES,
} from './_test/entry_group_values.js';

/** Shortest time in which a caller comes back, in milliseconds. */
const RETURN_MS = 7;
const [CENTRO_1, SERRA_1] = SCHEDULERS as [InstanceId, InstanceId];
const [CENTRO_2, SERRA_2] = OTHER_ENTRIES as [InstanceId, InstanceId];

describe('A caller that comes back after the loss of its entry', () => {
  // A hold of a lease ended before the runs, whose leases may last until the
  // silence of the entry is certain.
  it('does not get its job run beside runs of a scheduler that was cut off from it', async () => {
    const group = EntryGroup.create(4_000, STATE_INSTANCES);
    group.hide(CENTRO, CENTRO_2);
    await group.clock.advance(50);
    group.submit(CENTRO_2);
    await group.clock.advance(900);
    group.cutOff(CENTRO_2, SERRA_1);
    void group.kill(CENTRO_2);
    await group.clock.advance(RETURN_MS);
    group.submit(CENTRO_1);
    await group.clock.advance(1_400);
    expect(group.startsOf(JOB)).toBe(4);
    expect(group.concurrentRuns).toEqual([]);
  });
});

describe('A caller that comes back before its interruption is known', () => {
  const OTHER = {...JOB, id: 'd94b36f85c0e7a21' as JobId};
  /** Shorter than a notice is on its way, in milliseconds. */
  const EARLY_RETURN_MS = 0.5;

  /** Occupies the target of a data centre, and kills the entry of the job. */
  async function killWhileTargetIsBusy(runMs: number): Promise<EntryGroup> {
    const group = EntryGroup.create(runMs, STATE_INSTANCES);
    await group.clock.advance(50);
    group.submit(SERRA_1, undefined, OTHER);
    await group.clock.advance(runMs - 200);
    group.submit(CENTRO_1);
    await group.clock.advance(100);
    void group.kill(CENTRO_1);
    await group.clock.advance(EARLY_RETURN_MS);
    return group;
  }

  it.each([SERRA_1, SERRA_2])(
    'does not get its job run beside runs of a lost entry when it has waited for a target at %s',
    async id => {
      const group = await killWhileTargetIsBusy(900);
      const again = group.submit(id);
      await group.clock.advance(4_000);
      expect(group.concurrentRuns).toEqual([]);
      expect(again.outcome?.kind).toBe('completed');
    },
  );

  it('does not get its job run beside runs of a lost entry when a target is free', async () => {
    const group = EntryGroup.create(900, STATE_INSTANCES);
    await group.clock.advance(50);
    group.submit(CENTRO_1);
    await group.clock.advance(100);
    void group.kill(CENTRO_1);
    await group.clock.advance(EARLY_RETURN_MS);
    group.submit(SERRA_2);
    await group.clock.advance(2_000);
    expect(group.concurrentRuns).toEqual([]);
  });

  it('does not get its job run beside runs of the process that its entry replaces', async () => {
    const group = EntryGroup.create(1_000, STATE_INSTANCES);
    await group.clock.advance(50);
    group.submit(SERRA_1, undefined, OTHER);
    await group.clock.advance(850);
    group.submit(CENTRO_2);
    await group.clock.advance(100);
    [CENTRO_1, CENTRO_2].forEach(id => void group.kill(id));
    await group.clock.advance(RETURN_MS);
    group.start(CENTRO_2);
    const again = group.submit(CENTRO_2);
    await group.clock.advance(4_000);
    expect(group.concurrentRuns).toEqual([]);
    expect(again.outcome?.kind).toBe('completed');
  });

  it('gets its job run when the runs of its caller that left have ended', async () => {
    const group = EntryGroup.create(900, STATE_INSTANCES);
    const caller = new AbortController();
    await group.clock.advance(50);
    group.submit(SERRA_1, undefined, OTHER);
    await group.clock.advance(860);
    group.submit(CENTRO_1, caller.signal);
    await group.clock.advance(20);
    caller.abort();
    await group.clock.advance(EARLY_RETURN_MS);
    group.hide(CENTRO, SERRA_2);
    group.submit(SERRA_2);
    await group.clock.advance(150);
    expect(group.startsOf(JOB)).toBe(4);
    expect(group.concurrentRuns).toEqual([]);
  });

  it('does not wait for its own runs when the link of its entry was replaced', async () => {
    const group = EntryGroup.create(900, STATE_INSTANCES);
    await group.clock.advance(50);
    group.submit(SERRA_1, undefined, OTHER);
    await group.clock.advance(700);
    group.submit(SERRA_1);
    await group.clock.advance(100);
    group.replaceLinks(SERRA_1);
    await group.clock.advance(150);
    expect(group.startsOf(JOB)).toBe(2);
  });

  it.each([
    {left: CENTRO_1, stays: CENTRO_2},
    {left: CENTRO_2, stays: CENTRO_1},
  ])(
    'does not wait for runs of its own scheduler when the caller at $left leaves that at $stays has joined',
    async ({left, stays}) => {
      const group = EntryGroup.create(900, STATE_INSTANCES);
      const caller = new AbortController();
      await group.clock.advance(50);
      group.submit(CENTRO_1, undefined, OTHER);
      await group.clock.advance(700);
      group.submit(left, caller.signal);
      await group.clock.advance(20);
      group.submit(stays);
      await group.clock.advance(20);
      caller.abort();
      await group.clock.advance(200);
      expect(group.startsOf(JOB)).toBe(2);
    },
  );

  it('does not get its job run beside a run that another caller of it keeps', async () => {
    const group = EntryGroup.create(4_000, STATE_INSTANCES);
    const caller = new AbortController();
    await group.clock.advance(50);
    group.submit(CENTRO_2, caller.signal);
    await group.clock.advance(50);
    group.submit(CENTRO_2);
    await group.clock.advance(50);
    caller.abort();
    await group.clock.advance(RETURN_MS);
    group.hide(CENTRO, SERRA_2);
    group.submit(SERRA_2);
    await group.clock.advance(2_000);
    expect(group.concurrentRuns).toEqual([]);
  });
});
