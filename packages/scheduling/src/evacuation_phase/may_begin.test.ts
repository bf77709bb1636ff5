import {describe, expect, it} from 'vitest';
import {mayBegin} from './may_begin.js';

describe('mayBegin', () => {
  it('lets jobs begin while the data centre is in service or returns', () => {
    expect(mayBegin({kind: 'inService'}, false)).toBe(true);
    expect(mayBegin({kind: 'returning', share: 0.5}, false)).toBe(true);
  });

  // The parts elsewhere would have run for nothing.
  it('lets only promised parts begin during the grace period', () => {
    expect(mayBegin({kind: 'leaving'}, false)).toBe(false);
    expect(mayBegin({kind: 'leaving'}, true)).toBe(true);
  });

  it('lets nothing begin after the grace period', () => {
    expect(mayBegin({kind: 'evacuated'}, true)).toBe(false);
  });
});
