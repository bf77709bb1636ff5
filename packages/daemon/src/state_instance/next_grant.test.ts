import type {BootId, InstanceId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {nextGrant} from './next_grant.js';

const entry = (
  name: string,
  boot = 'boot',
  state: 'starting' | 'ready' | 'draining' = 'ready',
): Parameters<typeof nextGrant>[1][number] => ({
  instanceId: name as InstanceId,
  boot: boot as BootId,
  state,
});
const HELD = {
  instanceId: 'a' as InstanceId,
  boot: 'boot' as BootId,
  token: 3,
};

describe('nextGrant', () => {
  it('leaves a live holder alone', () => {
    expect(nextGrant(HELD, [entry('a'), entry('b')])).toBeUndefined();
    expect(
      nextGrant(HELD, [entry('a', 'boot', 'starting'), entry('b')]),
    ).toBeUndefined();
  });

  it('replaces one that is dead, has restarted or drains', () => {
    expect(nextGrant(HELD, [entry('b')])?.instanceId).toBe('b');
    expect(nextGrant(HELD, [entry('a', 'new'), entry('b')])?.instanceId).toBe(
      'b',
    );
    const draining = entry('a', 'boot', 'draining');
    expect(nextGrant(HELD, [draining, entry('b')])?.instanceId).toBe('b');
    expect(nextGrant(HELD, [draining])).toBeUndefined();
  });

  it('gives it back to a restarted holder that is alone', () => {
    expect(nextGrant(HELD, [entry('a', 'new')])?.boot).toBe('new');
  });

  it('grants nothing to entries that are not ready', () => {
    expect(
      nextGrant(undefined, [entry('a', 'boot', 'starting')]),
    ).toBeUndefined();
  });
});
