import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {checkTaskLoss} from './check_task_loss.js';

const SEED = 12;
const LOSS = {kind: 'relato', taskId: '5c0e7a21d94b36f8.0.0.1', targets: 2};

describe('checkTaskLoss', () => {
  it('accepts a loss, also with fields of a later version', () => {
    expect(checkTaskLoss(LOSS)).toEqual(LOSS);
    expect(checkTaskLoss({...LOSS, later: 1})).toMatchObject(LOSS);
  });

  it('refuses a loss with a field that is missing or of another type', () => {
    expect(() => checkTaskLoss({...LOSS, targets: 0})).toThrow('targets');
    expect(() => checkTaskLoss({...LOSS, taskId: undefined})).toThrow('taskId');
    expect(() => checkTaskLoss({...LOSS, kind: 7})).toThrow('kind');
    fc.assert(
      fc.property(
        fc.oneof(
          fc.constant(null),
          fc.record({taskId: fc.anything(), targets: fc.string()}),
          fc.record({targets: fc.nat()}),
        ),
        value => {
          expect(() => checkTaskLoss(value)).toThrow('taskLost');
        },
      ),
      {seed: SEED, numRuns: 200},
    );
  });
});
