import {describe, expect, it} from 'vitest';
import {keptPlaces} from './kept_places.js';

describe('keptPlaces', () => {
  it('keeps nothing while there is enough for all', () => {
    expect(keptPlaces({busyAbove: 13, busy: 20, room: 26})).toBe(0);
  });

  it('replays a storm: keeps a quarter of what urgent work uses', () => {
    expect(keptPlaces({busyAbove: 12, busy: 40, room: 26})).toBe(3);
    expect(keptPlaces({busyAbove: 0, busy: 40, room: 26})).toBe(0);
  });

  it('keeps less and less as the load nears the usual one', () => {
    const load = {busyAbove: 12, room: 100};
    const kept = [100, 90, 85, 80].map(busy => keptPlaces({...load, busy}));
    expect(kept).toEqual([...kept].sort((a, b) => b - a));
    expect(kept[0]).toBeCloseTo(3);
    expect(kept[3]).toBeCloseTo(0);
  });
});
