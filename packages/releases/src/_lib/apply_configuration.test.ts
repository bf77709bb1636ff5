import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {applyCommand} from '../apply_command/apply_command.js';
import {EMPTY_CONTROL_STATE} from '../control_state/empty_control_state.js';

describe('applyConfiguration', () => {
  it('keeps the first content of the highest revision in any order of commands', () => {
    const command = fc.record({revision: fc.nat(6), content: fc.nat(1_000)});
    fc.assert(
      fc.property(fc.array(command, {minLength: 1}), commands => {
        let state = EMPTY_CONTROL_STATE;
        for (const {revision, content} of commands) {
          const before = state.configuration?.revision ?? -1;
          const kind = 'applyConfiguration';
          state = applyCommand(state, {kind, revision, content}).state;
          expect(state.configuration!.revision).toBeGreaterThanOrEqual(before);
        }
        const highest = Math.max(...commands.map(c => c.revision));
        expect(state.configuration).toEqual(
          commands.find(c => c.revision === highest),
        );
      }),
    );
  });
});
