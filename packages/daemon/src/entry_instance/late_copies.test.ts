import type {InstanceId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {EntryGroup} from './_test/entry_group.js';
import {
  JOB,
  OTHER_ENTRIES,
  RUN_MS,
  SCHEDULERS,
  STATE_INSTANCES,
} from './_test/entry_group_values.js';

const [CENTRO_1, SERRA_1] = SCHEDULERS as [InstanceId, InstanceId];
const [CENTRO_2, SERRA_2] = OTHER_ENTRIES as [InstanceId, InstanceId];
/** Tasks of the job, each of which starts once if no copy of it runs. */
const TASKS = 2;
/** Longest time until a registrar knows the end of a job, in milliseconds. */
const RELEASE_MS = 110;

async function createGroup(runMs?: number): Promise<EntryGroup> {
  const group = EntryGroup.create(runMs, STATE_INSTANCES);
  await group.clock.advance(50);
  return group;
}

// Guards against runs of one job in two data centres at once, of copies of its request
// that arrive after its answer (review/8).
describe('Copies of a request that arrive after the job was answered', () => {
  it.each([
    {between: 'one after the other', delayMs: 100},
    {between: 'at the same moment', delayMs: 0},
  ])('start no task again, $between', async ({delayMs}) => {
    const group = await createGroup();
    const first = group.submit(CENTRO_1);
    await group.clock.advance(RUN_MS + 100);
    expect(first.outcome?.kind).toBe('completed');
    await group.clock.advance(2_000);
    const inCentro = group.submit(CENTRO_2);
    await group.clock.advance(delayMs);
    const inSerra = group.submit(SERRA_2);
    await group.clock.advance(10);
    expect(inCentro.outcome?.kind).toBe('completed');
    expect(inSerra.outcome?.kind).toBe('completed');
    expect(group.startsOf(JOB)).toBe(TASKS);
    expect(group.concurrentRuns).toEqual([]);
  });

  it('start no task again after its caller left and came back before', async () => {
    const group = await createGroup();
    const caller = new AbortController();
    group.submit(CENTRO_1, caller.signal);
    await group.clock.advance(100);
    caller.abort();
    await group.clock.advance(1_300);
    const again = group.submit(CENTRO_2);
    await group.clock.advance(RUN_MS + 100);
    expect(again.outcome?.kind).toBe('completed');
    const starts = group.startsOf(JOB);
    await group.clock.advance(2_000);
    group.submit(SERRA_1);
    await group.clock.advance(100);
    group.submit(CENTRO_1);
    await group.clock.advance(RUN_MS);
    expect(group.startsOf(JOB)).toBe(starts);
    expect(group.concurrentRuns).toEqual([]);
  });
});

describe('Copies of a request that arrive while the job runs', () => {
  it('get the answer of the job, at whichever entry, and start no task', async () => {
    const group = await createGroup();
    const all = [CENTRO_1, CENTRO_2, SERRA_1, SERRA_2].map(id =>
      group.submit(id),
    );
    await group.clock.advance(RUN_MS + 100 + RELEASE_MS);
    expect(all.map(({outcome}) => outcome?.kind)).toEqual(
      all.map(() => 'completed'),
    );
    expect(group.startsOf(JOB)).toBe(TASKS);
  });

  it('run the job when the entry that had it was lost', async () => {
    const group = await createGroup(900);
    group.submit(CENTRO_1);
    await group.clock.advance(100);
    const copy = group.submit(SERRA_2);
    await group.clock.advance(100);
    void group.kill(CENTRO_1);
    await group.clock.advance(4_000);
    expect(copy.outcome?.kind).toBe('completed');
    expect(group.concurrentRuns).toEqual([]);
  });

  it('run the job when its callers at the other entry have left', async () => {
    const group = await createGroup(900);
    const caller = new AbortController();
    group.submit(CENTRO_1, caller.signal);
    await group.clock.advance(100);
    const copy = group.submit(SERRA_2);
    await group.clock.advance(100);
    caller.abort();
    await group.clock.advance(1_100);
    expect(copy.outcome?.kind).toBe('completed');
    expect(group.concurrentRuns).toEqual([]);
  });

  it('start no task when the state instance that registered the job was lost', async () => {
    const group = await createGroup(900);
    group.submit(CENTRO_1);
    await group.clock.advance(100);
    void group.killStateInstance(STATE_INSTANCES[0]!);
    await group.clock.advance(10);
    const copy = group.submit(SERRA_2);
    await group.clock.advance(1_000);
    expect(copy.outcome?.kind).toBe('completed');
    expect(group.startsOf(JOB)).toBe(TASKS);
  });

  it('wait no longer than their callers', async () => {
    const group = await createGroup(4_000);
    group.submit(CENTRO_1);
    await group.clock.advance(100);
    const copy = group.submit(SERRA_2, undefined, {...JOB, leftMs: 500});
    await group.clock.advance(500);
    expect(copy.outcome).toEqual({kind: 'failed', reason: 'deadline'});
    expect(group.startsOf(JOB)).toBe(TASKS);
  });
});

it('A job runs without a state instance that answers', async () => {
  const group = await createGroup();
  for (const id of STATE_INSTANCES) {
    for (const entry of [CENTRO_1, SERRA_1]) {
      group.cutOff(entry, id);
    }
  }
  const job = group.submit(CENTRO_1);
  await group.clock.advance(RUN_MS + 200);
  expect(job.outcome?.kind).toBe('completed');
});
