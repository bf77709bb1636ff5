import type {TargetId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {reportOf} from '../_test/report_of.js';
import {TargetIncarnation} from './target_incarnation.js';

const REPORT = {...reportOf('t1' as TargetId), bornMs: 5, sequence: 3};
const HELD = {kind: 'held', clockMs: 1, running: [], ended: []} as const;

describe('TargetIncarnation', () => {
  // A report that was overtaken would offer a target that is leaving.
  it('ignores a report that is older than the one in use', () => {
    const incarnation = TargetIncarnation.create(REPORT);
    incarnation.updateReport({...REPORT, sequence: 2, state: 'leaving'});
    expect(incarnation.report.state).toBe('ready');
  });

  // The report of the earlier incarnation may name capacity that is gone.
  it('offers a restarted target again only after it has reported and answered', () => {
    const incarnation = TargetIncarnation.create(REPORT);
    incarnation.isConfirmed = true;
    expect(incarnation.isReady).toBe(true);
    incarnation.restart(6);
    incarnation.isConfirmed = true;
    expect(incarnation.isReady).toBe(false);
    incarnation.replaceReport({...REPORT, bornMs: 6});
    expect(incarnation.isReady).toBe(true);
    expect(incarnation.restarts).toBe(1);
  });

  it('believes the times of birth before the clock', () => {
    const incarnation = TargetIncarnation.create(REPORT);
    expect(incarnation.showsRestart({...HELD, bornMs: 5}, () => true)).toBe(
      false,
    );
    expect(incarnation.showsRestart({...HELD, bornMs: 6}, () => false)).toBe(
      true,
    );
    expect(incarnation.showsRestart(HELD, () => true)).toBe(true);
  });

  // Its ends have the numbers of a count that has started anew since.
  it('tells a list that was sent before a restart', () => {
    const incarnation = TargetIncarnation.create(REPORT);
    const sent = {atMs: 0, restarts: 0};
    incarnation.restart(6);
    expect(incarnation.isOfEarlierIncarnation(HELD, sent)).toBe(true);
    expect(incarnation.isOfEarlierIncarnation({...HELD, bornMs: 6}, sent)).toBe(
      false,
    );
  });
});
