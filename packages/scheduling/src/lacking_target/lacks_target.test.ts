import type {
  ScheduledJob,
  ScheduledStep,
  ServiceId,
  TargetId,
  TargetReport,
} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {jobOf} from '../_test/job_of.js';
import {reportOf} from '../_test/report_of.js';
import {lacksTarget} from './lacks_target.js';

const [STEP] = jobOf(1).steps;
const SSD = {requiredLabel: 'ssd'};

function jobWith(...steps: Array<Partial<ScheduledStep>>): ScheduledJob {
  return jobOf(1, {steps: steps.map(overrides => ({...STEP!, ...overrides}))});
}

function targetWith(
  overrides: Partial<TargetReport>,
  isReleased = false,
): {readonly report: TargetReport; readonly isReleased: boolean} {
  return {report: {...reportOf('t1' as TargetId), ...overrides}, isReleased};
}

describe('lacksTarget', () => {
  // The job would wait until its deadline for a target that does not exist.
  it('sees a label that no target has', () => {
    const targets = [targetWith({labels: ['hdd']}), targetWith({})];
    expect(lacksTarget(jobWith(SSD), targets)).toBe(true);
    expect(lacksTarget(jobWith({}), targets)).toBe(false);
  });

  it('sees resources that no target has, in any step', () => {
    const needs = {cores: 33, memoryMb: 1, accelerators: 0};
    const targets = [targetWith({}), targetWith({})];
    expect(lacksTarget(jobWith({}, {needs}), targets)).toBe(true);
    const large = {cores: 64, memoryMb: 1_024, accelerators: 0};
    const withLarge = [...targets, targetWith({capacity: large})];
    expect(lacksTarget(jobWith({}, {needs}), withLarge)).toBe(false);
  });

  it('needs one target with both the label and the resources', () => {
    const capacity = {cores: 1, memoryMb: 1_024, accelerators: 0};
    const targets = [targetWith({labels: ['ssd'], capacity}), targetWith({})];
    expect(lacksTarget(jobWith(SSD), targets)).toBe(true);
  });

  it('does not count targets that get no new runs', () => {
    const labels = ['ssd'];
    const ready = targetWith({});
    const draining = targetWith({labels, state: 'draining'});
    expect(lacksTarget(jobWith(SSD), [ready, draining])).toBe(true);
    const released = targetWith({labels}, true);
    expect(lacksTarget(jobWith(SSD), [ready, released])).toBe(true);
    const other = targetWith({labels, service: 'outro' as ServiceId});
    expect(lacksTarget(jobWith(SSD), [ready, other])).toBe(true);
  });

  // A scheduler that has just begun knows no target of the service yet.
  it('says nothing of a job whose service has no known target', () => {
    const other = targetWith({service: 'outro' as ServiceId});
    expect(lacksTarget(jobWith(SSD), [other])).toBe(false);
    expect(lacksTarget(jobWith(SSD), [])).toBe(false);
  });
});
