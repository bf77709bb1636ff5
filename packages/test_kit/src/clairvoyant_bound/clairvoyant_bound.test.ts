import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {BoundJob} from './bound_job.js';
import {clairvoyantBound} from './clairvoyant_bound.js';

const ONE = {cores: 1, slowness: 1};
const JOB: BoundJob = {
  atMs: 0,
  objectiveAtMs: 100,
  deadlineAtMs: 100,
  value: 1,
  cores: 1,
  workMs: 100,
};

/** Credit of serving jobs one after the other on one target of one core. */
function creditInOrder(jobs: readonly BoundJob[]): number {
  let nowMs = 0;
  let credit = 0;
  for (const job of jobs) {
    const endMs = Math.max(nowMs, job.atMs) + job.workMs;
    if (endMs <= job.deadlineAtMs) {
      nowMs = endMs;
      credit += job.value * (endMs <= job.objectiveAtMs ? 1 : 0.2);
    }
  }
  return credit;
}

describe('clairvoyantBound', () => {
  it('is the sum of the values while there is room for all', () => {
    expect(clairvoyantBound([JOB, JOB], [ONE, ONE])).toBeCloseTo(2);
    expect(clairvoyantBound([], [ONE])).toBe(0);
  });

  it('prefers the more valuable work and counts a part of the other', () => {
    const jobs = [
      {...JOB, workMs: 75},
      {...JOB, value: 4, workMs: 75},
    ];
    expect(clairvoyantBound(jobs, [ONE])).toBeCloseTo(4 + 1 / 3);
  });

  it('counts a fifth for work that is done after the objective', () => {
    const jobs = [JOB, {...JOB, deadlineAtMs: 200}];
    expect(clairvoyantBound(jobs, [ONE])).toBeCloseTo(1.2);
  });

  it('moves earlier work out of the way of a narrow window', () => {
    const jobs = [
      {...JOB, value: 2, objectiveAtMs: 200, deadlineAtMs: 200},
      JOB,
    ];
    expect(clairvoyantBound(jobs, [ONE])).toBeCloseTo(3);
  });

  it('counts what is left of a target beside a task as lost if no other fits', () => {
    const jobs = [1, 2, 3, 4].map(() => ({...JOB, cores: 36}));
    const targets = [
      {cores: 64, slowness: 1},
      {cores: 64, slowness: 1},
    ];
    expect(clairvoyantBound(jobs, targets)).toBeCloseTo(2);
    const smaller = jobs.map(job => ({...job, cores: 28}));
    expect(clairvoyantBound([...smaller, ...smaller], targets)).toBeCloseTo(4);
  });

  // A bound below a schedule that exists would show a share above 1.
  it('is never below the credit of a schedule', () => {
    const job = fc
      .record({
        atMs: fc.nat(300),
        workMs: fc.integer({min: 1, max: 120}),
        slackMs: fc.nat(200),
        graceMs: fc.nat(200),
        value: fc.integer({min: 1, max: 4}),
      })
      .map(({atMs, workMs, slackMs, graceMs, value}) => ({
        ...JOB,
        atMs,
        workMs,
        value,
        objectiveAtMs: atMs + workMs + slackMs,
        deadlineAtMs: atMs + workMs + slackMs + graceMs,
      }));
    fc.assert(
      fc.property(fc.array(job, {maxLength: 12}), jobs => {
        const bound = clairvoyantBound(jobs, [ONE]);
        expect(bound).toBeGreaterThanOrEqual(creditInOrder(jobs) - 1e-9);
      }),
    );
  });
});
