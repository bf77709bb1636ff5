import {describe, expect, it} from 'vitest';
import type {DataCentreId} from '../ids/data_centre_id.js';
import type {ServiceId} from '../ids/service_id.js';
import type {TargetId} from '../ids/target_id.js';
import {isForeignReport} from './is_foreign_report.js';
import type {TargetReport} from './target_report.js';

const KNOWN: TargetReport = {
  targetId: 't1' as TargetId,
  bornMs: 10,
  sequence: 1,
  state: 'ready',
  service: 'falhas' as ServiceId,
  dataCentre: 'centro' as DataCentreId,
  host: '127.0.0.1',
  port: 1,
  capacity: {cores: 1, memoryMb: 1, accelerators: 0},
  labels: [],
};

describe('isForeignReport', () => {
  // A restart that was believed from any address lost the runs of a target that
  // was up (review/9).
  it('is true only for another address and another incarnation', () => {
    const isForeign = (overrides: Partial<TargetReport>): boolean =>
      isForeignReport(KNOWN, {...KNOWN, ...overrides});
    expect(isForeign({})).toBe(false);
    expect(isForeign({bornMs: 11})).toBe(false);
    expect(isForeign({port: 2})).toBe(false);
    expect(isForeign({host: '127.0.0.2', bornMs: 11})).toBe(true);
    expect(isForeign({port: 2, bornMs: 9})).toBe(true);
  });

  it('goes by the address if there is no time of birth', () => {
    const known = {...KNOWN, bornMs: 0};
    expect(isForeignReport(known, known)).toBe(false);
    expect(isForeignReport(known, {...known, port: 2})).toBe(true);
    expect(isForeignReport(known, {...KNOWN, port: 2})).toBe(true);
    expect(isForeignReport(KNOWN, {...known, port: 2})).toBe(true);
  });
});
