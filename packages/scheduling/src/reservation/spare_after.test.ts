import {describe, expect, it} from 'vitest';
import {mayBackfill} from './may_backfill.js';
import {spareAfter} from './spare_after.js';

const needs = {cores: 16, memoryMb: 64, accelerators: 0};
const reservation = {
  atMs: 50,
  spare: {cores: 24, memoryMb: 1_024, accelerators: 0},
};

// Guards against two tasks that use the same room beside a reservation.
describe('spareAfter', () => {
  it('leaves no room for a second long task', () => {
    const after = spareAfter(reservation, needs, 900);
    expect(mayBackfill(after, needs, 900)).toBe(false);
  });

  it('keeps the room if the task ends before', () => {
    expect(spareAfter(reservation, needs, 40)).toBe(reservation);
    expect(spareAfter(undefined, needs, 900)).toBeUndefined();
  });
});
