import {describe, expect, it} from 'vitest';
import {incarnationOf} from './incarnation_of.js';

const KNOWN = {reportedMs: 5, latestMs: 5};

describe('incarnationOf', () => {
  // Runs of a healthy target would count as lost.
  it('takes a report with the known time of birth as the current one', () => {
    expect(incarnationOf(5, KNOWN)).toBe('current');
  });

  // A late report would bring back a target that has restarted since.
  it('tells an earlier incarnation from a later one', () => {
    expect(incarnationOf(4, KNOWN)).toBe('earlier');
    expect(incarnationOf(6, KNOWN)).toBe('later');
  });

  it('takes a report without time of birth as earlier than one with it', () => {
    expect(incarnationOf(0, KNOWN)).toBe('earlier');
    expect(incarnationOf(0, {reportedMs: 0, latestMs: 5})).toBe('current');
  });

  it('sees no restart while no time of birth is known', () => {
    expect(incarnationOf(6, {reportedMs: 0, latestMs: 0})).toBe('current');
  });
});
