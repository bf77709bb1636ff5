import type {TaskId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import type {EndReport} from '../target_port/end_report.js';
import {UnclaimedRuns} from './unclaimed_runs.js';

function taskOf(n: number): TaskId {
  return `5c0e7a21d94b36f8.0.0.${n}` as TaskId;
}

function endOf(n: number): EndReport {
  return {number: n, taskId: taskOf(n), run: 1, how: 'done'};
}

describe('UnclaimedRuns', () => {
  it('gives a run to the first job that claims it', () => {
    const unclaimed = UnclaimedRuns.create();
    unclaimed.add(taskOf(1), 3, 0);
    expect(unclaimed.claim(taskOf(1))).toEqual({kind: 'running', run: 3});
    expect(unclaimed.claim(taskOf(1))).toBeUndefined();
    expect(unclaimed.size).toBe(0);
  });

  it('keeps the listed runs', () => {
    const unclaimed = UnclaimedRuns.create();
    unclaimed.add(taskOf(1), 1, 0);
    unclaimed.add(taskOf(2), 1, 0);
    unclaimed.keepOnly(new Map([[taskOf(2), 1]]));
    expect(unclaimed.has(taskOf(1))).toBe(false);
    expect(unclaimed.has(taskOf(2))).toBe(true);
  });

  it('keeps the ends when the runs are cleared, and drops the oldest of many old ones', () => {
    const unclaimed = UnclaimedRuns.create();
    for (let n = 0; n < 256; n++) {
      unclaimed.addEnd(endOf(n), 0);
    }
    unclaimed.addEnd(endOf(256), 5_000);
    unclaimed.clear();
    expect(unclaimed.claim(taskOf(0))).toBeUndefined();
    expect(unclaimed.claim(taskOf(1))).toEqual({kind: 'ended', end: endOf(1)});
  });

  it('keeps the end of a task whose job may still be handed over, however many ended since', () => {
    const unclaimed = UnclaimedRuns.create();
    for (let n = 0; n < 1_000; n++) {
      unclaimed.addEnd(endOf(n), 2 * n);
    }
    expect(unclaimed.claim(taskOf(0))).toEqual({kind: 'ended', end: endOf(0)});
  });

  it('keeps a bounded number of ends', () => {
    const unclaimed = UnclaimedRuns.create();
    for (let n = 0; n <= 4_096; n++) {
      unclaimed.addEnd(endOf(n), 0);
    }
    expect(unclaimed.claim(taskOf(0))).toBeUndefined();
    expect(unclaimed.claim(taskOf(1))).toEqual({kind: 'ended', end: endOf(1)});
  });
});
