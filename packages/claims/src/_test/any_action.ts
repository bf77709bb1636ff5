import fc from 'fast-check';
import {INSTANCE_IDS} from './instance_ids.js';

/** Longest wait between two actions, in milliseconds; twice the peer timeout. */
const MAX_WAIT_MS = 500;

const anyInstance = fc.constantFrom(...INSTANCE_IDS);
/** Any event of the simulated data centre. */
export const anyAction = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({kind: fc.constant('new' as const), at: anyInstance}),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('resend' as const),
      at: anyInstance,
      back: fc.nat(3),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.nat(MAX_WAIT_MS),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        'crash' as const,
        'start' as const,
        'freeze' as const,
        'thaw' as const,
        'loseLog' as const,
      ),
      at: anyInstance,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('cut' as const),
      at: anyInstance,
      to: anyInstance,
    }),
  },
  {weight: 1, arbitrary: fc.record({kind: fc.constant('crashAll' as const)})},
  {weight: 2, arbitrary: fc.record({kind: fc.constant('heal' as const)})},
);
