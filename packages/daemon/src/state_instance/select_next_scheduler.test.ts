import type {BootId, InstanceId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {selectNextScheduler} from './select_next_scheduler.js';

const candidate = (
  name: string,
  boot = 'boot',
  state: 'starting' | 'ready' | 'draining' = 'ready',
): Parameters<typeof selectNextScheduler>[1][number] => ({
  instanceId: name as InstanceId,
  boot: boot as BootId,
  state,
});
const CURRENT_GRANT = {
  instanceId: 'a' as InstanceId,
  boot: 'boot' as BootId,
  token: 3,
};

describe('selectNextScheduler', () => {
  it('keeps the grant of a live holder', () => {
    expect(
      selectNextScheduler(CURRENT_GRANT, [candidate('a'), candidate('b')]),
    ).toBeUndefined();
    expect(
      selectNextScheduler(CURRENT_GRANT, [
        candidate('a', 'boot', 'starting'),
        candidate('b'),
      ]),
    ).toBeUndefined();
  });

  it('replaces a holder that is dead, has restarted or drains', () => {
    expect(
      selectNextScheduler(CURRENT_GRANT, [candidate('b')])?.instanceId,
    ).toBe('b');
    expect(
      selectNextScheduler(CURRENT_GRANT, [
        candidate('a', 'new'),
        candidate('b'),
      ])?.instanceId,
    ).toBe('b');
    const draining = candidate('a', 'boot', 'draining');
    expect(
      selectNextScheduler(CURRENT_GRANT, [draining, candidate('b')])
        ?.instanceId,
    ).toBe('b');
    expect(selectNextScheduler(CURRENT_GRANT, [draining])).toBeUndefined();
  });

  it('grants to the restarted holder when no other entry instance is live', () => {
    expect(
      selectNextScheduler(CURRENT_GRANT, [candidate('a', 'new')])?.boot,
    ).toBe('new');
  });

  it('does not grant to an entry instance that is not ready', () => {
    expect(
      selectNextScheduler(undefined, [candidate('a', 'boot', 'starting')]),
    ).toBeUndefined();
  });
});
