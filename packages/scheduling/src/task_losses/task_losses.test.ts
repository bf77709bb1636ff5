import type {TaskId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {TaskLosses} from './task_losses.js';

const TASK = '5c0e7a21d94b36f8.0.0.1' as TaskId;
const OTHER = '5c0e7a21d94b36f8.0.0.2' as TaskId;
const MINUTE_MS = 60_000;

describe('TaskLosses', () => {
  it('keeps the highest number of losses of each task', () => {
    const losses = TaskLosses.create();
    expect(losses.countOf(TASK)).toBe(0);
    losses.record(TASK, 2, 0);
    losses.record(TASK, 1, 1);
    expect(losses.countOf(TASK)).toBe(2);
    expect(losses.countOf(OTHER)).toBe(0);
  });

  it('forgets a task a minute after its last loss', () => {
    const losses = TaskLosses.create();
    losses.record(TASK, 1, 0);
    losses.record(OTHER, 1, 10);
    losses.record(TASK, 2, MINUTE_MS - 1);
    losses.record('f5d66e159bff2070.0.0.0' as TaskId, 1, MINUTE_MS + 10);
    expect(losses.countOf(OTHER)).toBe(0);
    expect(losses.countOf(TASK)).toBe(2);
    expect(losses.hasAny(2 * MINUTE_MS)).toBe(true);
    expect(losses.hasAny(2 * MINUTE_MS + 10)).toBe(false);
  });
});
