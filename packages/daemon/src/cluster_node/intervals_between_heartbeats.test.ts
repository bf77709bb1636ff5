import {describe, expect, it} from 'vitest';
import {intervalsBetweenHeartbeats} from './intervals_between_heartbeats.js';

describe('intervalsBetweenHeartbeats', () => {
  it('sends all heartbeats to the leader, which grants by them', () => {
    const leader = {role: 'state', leads: true} as const;
    expect(intervalsBetweenHeartbeats('entry', leader)).toBe(1);
    expect(intervalsBetweenHeartbeats('state', leader)).toBe(1);
  });

  it('sends fewer to others, the fewest between entry instances', () => {
    const follower = {role: 'state', leads: false} as const;
    const entry = {role: 'entry'} as const;
    const toFollower = intervalsBetweenHeartbeats('entry', follower);
    expect(toFollower).toBeGreaterThan(1);
    expect(intervalsBetweenHeartbeats('state', entry)).toBe(toFollower);
    expect(intervalsBetweenHeartbeats('entry', entry)).toBeGreaterThan(
      toFollower,
    );
  });
});
