import {describe, expect, it} from 'vitest';
import {reservedSlots} from './reserved_slots.js';

describe('reservedSlots', () => {
  it('reserves no slots while there are enough for all work', () => {
    expect(
      reservedSlots({urgentSlots: 13, busySlots: 20, totalSlots: 26}),
    ).toBe(0);
  });

  it('reserves a quarter of the slots that urgent work uses under overload', () => {
    expect(
      reservedSlots({urgentSlots: 12, busySlots: 40, totalSlots: 26}),
    ).toBe(3);
    expect(reservedSlots({urgentSlots: 0, busySlots: 40, totalSlots: 26})).toBe(
      0,
    );
  });

  it('reserves fewer slots as the load falls to the usual one', () => {
    const demand = {urgentSlots: 12, totalSlots: 100};
    const reserved = [100, 90, 85, 80].map(busySlots =>
      reservedSlots({...demand, busySlots}),
    );
    expect(reserved).toEqual([...reserved].sort((a, b) => b - a));
    expect(reserved[0]).toBeCloseTo(3);
    expect(reserved[3]).toBeCloseTo(0);
  });
});
