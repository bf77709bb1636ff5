import type {ShardId, TargetId} from '@papayarun/protocol';
import type {ControlCommand} from '@papayarun/releases';
import {SilentLog, VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {StaleTargetRemover} from './stale_target_remover.js';

const SHARD = 'centro#1' as ShardId;

describe('StaleTargetRemover', () => {
  it('removes a target that stays without a session, but not one that comes back', async () => {
    const clock = VirtualClock.create();
    const commands: ControlCommand[] = [];
    let missing = ['dead', 'restarted'] as TargetId[];
    const remover = StaleTargetRemover.create({
      clock,
      log: SilentLog.create(),
      schedulers: {shards: [SHARD], missingTargets: () => missing},
      control: () => ({
        propose: command => {
          commands.push(command);
          return Promise.resolve({kind: 'targets', shards: {}});
        },
      }),
    });
    remover.start();
    await clock.advance(20_000);
    missing = ['dead' as TargetId];
    await clock.advance(10_000);
    expect(commands).toEqual([]);
    missing = ['dead', 'restarted'] as TargetId[];
    await clock.advance(6_000);
    expect(commands).toEqual([
      {kind: 'removeTargets', shard: SHARD, targetIds: ['dead']},
    ]);
    remover.stop();
  });
});
