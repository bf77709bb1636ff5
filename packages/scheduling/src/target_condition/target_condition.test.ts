import type {TargetId} from '@papayarun/protocol';
import {SilentLog} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {TargetCondition} from './target_condition.js';

function createCondition(): {
  readonly condition: TargetCondition;
  readonly log: SilentLog;
} {
  const log = SilentLog.create();
  const host = {clock: {now: () => 10}, log};
  return {condition: TargetCondition.create(host, 't1' as TargetId), log};
}

describe('TargetCondition', () => {
  // The log of a target under load would fill with the same state.
  it('logs changes of the health only', () => {
    const {condition, log} = createCondition();
    condition.recordRunResult('succeeded', 1);
    condition.recordRunResult('succeeded', 1);
    expect(log.events).toEqual([]);
    condition.recordRunResult('failed');
    expect(log.events.length).toBe(1);
  });

  // A new process would be kept from work for the failures of the one before.
  it('forgets the failures and the slowness of an earlier incarnation', () => {
    const {condition} = createCondition();
    condition.recordRunResult('succeeded', 3);
    condition.recordRunResult('failed');
    condition.restart();
    expect(condition.health).toEqual({kind: 'sound'});
    expect(condition.slowness).toBe(1);
  });
});
