import {describe, expect, it} from 'vitest';
import {mayQueue} from './may_queue.js';

const LOAD = {entries: 2, bytes: 100, writeMs: 75, timeoutMs: 2_500};

describe('mayQueue', () => {
  it('refuses what cannot be committed in time at the speed of the disk', () => {
    expect(mayQueue({...LOAD, entries: 13 * 128})).toBe(true);
    expect(mayQueue({...LOAD, entries: 13 * 128 + 1})).toBe(false);
    expect(mayQueue({...LOAD, bytes: 13 * 1024 * 1024})).toBe(true);
    expect(mayQueue({...LOAD, bytes: 14 * 1024 * 1024})).toBe(false);
  });

  it('does not let memory grow where the disk is fast, or was before it stalled', () => {
    expect(mayQueue({...LOAD, writeMs: 0, entries: 4_097})).toBe(false);
    expect(mayQueue({...LOAD, writeMs: 0, bytes: 17 * 1024 * 1024})).toBe(
      false,
    );
  });

  it('does not refuse what goes into the next write, however slow the last one was', () => {
    expect(mayQueue({...LOAD, entries: 128, writeMs: 10_000})).toBe(true);
    expect(mayQueue({...LOAD, entries: 129, writeMs: 10_000})).toBe(false);
  });

  it('does not refuse a single command for its size', () => {
    expect(mayQueue({...LOAD, entries: 1, bytes: 1024 * 1024})).toBe(true);
  });
});
