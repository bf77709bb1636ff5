import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {runPermissionEndMs} from './run_permission_end_ms.js';

const TIMING = {maxLeaseMs: 1_000, stopMs: 50, reportMs: 0};

describe('runPermissionEndMs', () => {
  it('ends so that a stopped run is over before the job may come again', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 0, max: 1e9}),
        fc.integer({min: 200, max: 60_000}),
        (heardMs, resendMs) => {
          const endMs = runPermissionEndMs(heardMs, {...TIMING, resendMs});
          expect(endMs).toBeGreaterThan(heardMs);
          expect(endMs + TIMING.stopMs).toBeLessThan(heardMs + resendMs);
        },
      ),
    );
  });

  it('sets no limit where callers send nothing again', () => {
    expect(runPermissionEndMs(0, TIMING)).toBe(Infinity);
  });
});
