import type {BootId, DataCentreId, InstanceId} from '@papayarun/protocol';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {applyCommand} from '../apply_command/apply_command.js';
import {EMPTY_CONTROL_STATE} from '../control_state/empty_control_state.js';

describe('grantScheduler', () => {
  it('grants each token once, each higher than all before it', () => {
    const grant = fc.record({
      dataCentre: fc.constantFrom('centro', 'serra'),
      instanceId: fc.constantFrom('a', 'b', 'c'),
      fromToken: fc.nat(12),
    });
    fc.assert(
      fc.property(fc.array(grant), grants => {
        let state = EMPTY_CONTROL_STATE;
        const grantedTokens: number[] = [];
        for (const {dataCentre, instanceId, fromToken} of grants) {
          const applied = applyCommand(state, {
            kind: 'grantScheduler',
            dataCentre: dataCentre as DataCentreId,
            instanceId: instanceId as InstanceId,
            boot: 'boot' as BootId,
            fromToken,
          });
          state = applied.state;
          if (applied.result.kind === 'grant' && applied.result.accepted) {
            grantedTokens.push(applied.result.grant!.token);
          }
        }
        expect(grantedTokens).toEqual(
          [...new Set(grantedTokens)].sort((a, b) => a - b),
        );
      }),
    );
  });

  it('rejects a grant that replaces an outdated token', () => {
    const command = {
      kind: 'grantScheduler',
      dataCentre: 'centro' as DataCentreId,
      instanceId: 'a' as InstanceId,
      boot: 'boot' as BootId,
      fromToken: 0,
    } as const;
    const {state} = applyCommand(EMPTY_CONTROL_STATE, command);
    const again = applyCommand(state, command);
    expect(again.result).toMatchObject({kind: 'grant', accepted: false});
    expect(again.state).toBe(state);
  });
});
