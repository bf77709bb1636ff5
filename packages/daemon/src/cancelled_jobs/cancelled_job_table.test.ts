import type {JobId} from '@papayarun/protocol';
import {VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {CancelledJobTable} from './cancelled_job_table.js';

const A = '00000000000000aa' as JobId;
const B = '00000000000000bb' as JobId;
const C = '00000000000000cc' as JobId;

describe('CancelledJobTable', () => {
  it('does not drop a job for want of room', () => {
    const table = CancelledJobTable.create(VirtualClock.create(), 2);
    expect(table.add([{jobId: A, forMs: 1_000}])).toEqual([A]);
    const both = [B, C].map(jobId => ({jobId, forMs: 1_000}));
    expect(table.add(both)).toBeUndefined();
    expect([A, B, C].map(jobId => table.has(jobId))).toEqual([
      true,
      false,
      false,
    ]);
  });

  it('has room again for jobs whose time has passed', async () => {
    const clock = VirtualClock.create();
    const table = CancelledJobTable.create(clock, 1);
    table.add([{jobId: A, forMs: 1_000}]);
    await clock.advance(1_000);
    expect(table.has(A)).toBe(false);
    expect(table.add([{jobId: B, forMs: 1_000}])).toEqual([B]);
    expect(table.size).toBe(1);
  });

  it('does not forget a job earlier when it is told of it again', async () => {
    const clock = VirtualClock.create();
    const table = CancelledJobTable.create(clock);
    table.add([{jobId: A, forMs: 1_000}]);
    expect(table.add([{jobId: A, forMs: 10}])).toEqual([]);
    await clock.advance(900);
    expect(table.list()).toEqual([{jobId: A, forMs: 100}]);
  });

  it('does not remember a job for as long as a peer says', async () => {
    const clock = VirtualClock.create();
    const table = CancelledJobTable.create(clock);
    table.add([{jobId: A, forMs: 1e12}]);
    await clock.advance(120_000);
    expect(table.has(A)).toBe(false);
  });
});
