import {describe, expect, it} from 'vitest';
import {mayBackfill} from './may_backfill.js';

const needs = {cores: 16, memoryMb: 64, accelerators: 0};
const none = {cores: 0, memoryMb: 0, accelerators: 0};

// Guards against slots that stand idle until a large task begins, and against small
// tasks that delay it.
describe('mayBackfill', () => {
  it('lets a task run that ends before the reservation begins', () => {
    expect(mayBackfill({atMs: 70, spare: none}, needs, 60)).toBe(true);
    expect(mayBackfill({atMs: 50, spare: none}, needs, 60)).toBe(false);
  });

  it('lets a long task run beside the one that has reserved the target', () => {
    expect(mayBackfill({atMs: 50, spare: needs}, needs, 900)).toBe(true);
  });

  it('holds nothing back on a target without a reservation', () => {
    expect(mayBackfill(undefined, needs, 900)).toBe(true);
  });
});
