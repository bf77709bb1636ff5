import type {ServiceId, TargetId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {createJobRecord} from '../_lib/create_job_record.js';
import type {OrderedRun} from '../_lib/ordered_run.js';
import {jobOf} from '../_test/job_of.js';
import {reportOf} from '../_test/report_of.js';
import {isAllowed} from './is_allowed.js';

const TARGET = {
  report: {...reportOf('t1' as TargetId), labels: ['ssd']},
};
const [STEP] = jobOf(1).steps;

function isAllowedWith(
  overrides: Parameters<typeof jobOf>[1],
  target: Parameters<typeof isAllowed>[2] = TARGET,
): boolean {
  const record = createJobRecord(jobOf(1, overrides), [60], 1, 100, 0);
  return isAllowed(record, record.tasks[0]!, target);
}

describe('isAllowed', () => {
  it('allows the targets of the same service only', () => {
    expect(isAllowedWith({})).toBe(true);
    expect(isAllowedWith({service: 'outro' as ServiceId})).toBe(false);
  });

  it('allows a target only if it has the required label', () => {
    const withLabel = (requiredLabel: string): boolean =>
      isAllowedWith({steps: [{...STEP!, requiredLabel}]});
    expect(withLabel('ssd')).toBe(true);
    expect(withLabel('gpu')).toBe(false);
  });

  // A task that fails on one target would fail there again.
  it('does not allow a target on which the task did not complete', () => {
    const record = createJobRecord(jobOf(1), [60], 1, 100, 0);
    const [task, other] = record.tasks;
    task!.excludedTargets.add(TARGET.report.targetId);
    expect(isAllowed(record, task!, TARGET)).toBe(false);
    expect(isAllowed(record, other!, TARGET)).toBe(true);
  });

  it('counts the tasks of a step on a target', () => {
    const steps = [{...STEP!, maxPerTarget: 1}];
    const record = createJobRecord(jobOf(1, {steps}), [60], 1, 100, 0);
    const [task, other] = record.tasks;
    expect(isAllowed(record, task!, TARGET)).toBe(true);
    other!.run = {session: TARGET} as unknown as OrderedRun;
    expect(isAllowed(record, task!, TARGET)).toBe(false);
  });
});
