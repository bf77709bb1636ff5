import {expect, it} from 'vitest';
import {checkDuration} from './check_duration.js';

it('accepts a time, and none', () => {
  expect(checkDuration(1_070)).toBe(1_070);
  expect(checkDuration(undefined)).toBe(undefined);
});

it.each([-1, NaN, Infinity, '5', {}])('rejects %o', value => {
  expect(() => checkDuration(value)).toThrow('time');
});
