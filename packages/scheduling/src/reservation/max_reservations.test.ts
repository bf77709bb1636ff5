import {describe, expect, it} from 'vitest';
import {maxReservations} from './max_reservations.js';

describe('maxReservations', () => {
  it('reserves only where the option asks for it', () => {
    expect(maxReservations(undefined)).toBe(0);
    expect(maxReservations({kind: 'firstFit'})).toBe(0);
    expect(maxReservations({kind: 'reserving'})).toBeGreaterThan(0);
  });
});
