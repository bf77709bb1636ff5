import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {expectedEnds} from '../expected_ends/expected_ends.js';
import {admitJob} from './admit_job.js';
import type {JobForecast} from './job_forecast.js';

const USUAL: JobForecast = {
  slots: 20,
  criticalPathMs: 60,
  endsMs: [60, 60],
  urgentShare: 0,
  objectiveTimeLeftMs: 156,
  usefulTimeLeftMs: 234,
  callerTimeLeftMs: 2_000,
  loopLagMs: 0,
  waitingJobs: 0,
  isDiscoveringTargets: false,
};

describe('admitJob', () => {
  it('admits a job that meets its objective', () => {
    expect(admitJob(USUAL)).toMatchObject({kind: 'admitted'});
  });

  it('refuses a job that ends after its objective, and returns a quote', () => {
    const admission = admitJob({...USUAL, endsMs: [60, 400]});
    expect(admission).toMatchObject({
      kind: 'refused',
      reason: 'tooLate',
      quote: {endsMs: [60, 400]},
    });
  });

  it('refuses a job that targets could do in time but a late event loop could not', () => {
    const late = {...USUAL, loopLagMs: 60};
    expect(admitJob(late)).toMatchObject({kind: 'refused', reason: 'tooLate'});
    expect(admitJob({...USUAL, loopLagMs: 10})).toMatchObject({
      kind: 'admitted',
    });
  });

  it('quotes a late end only while few jobs wait', () => {
    const late = {...USUAL, endsMs: [60, 200]};
    expect(admitJob(late)).toMatchObject({quote: {latestMs: 234}});
    expect(admitJob({...late, waitingJobs: 5})).toMatchObject({
      quote: {latestMs: 0},
    });
  });

  it('quotes any end before the caller leaves while targets still report after a restart', () => {
    const late = {...USUAL, endsMs: [60, 900], waitingJobs: 50};
    expect(admitJob(late)).toMatchObject({quote: {latestMs: 0}});
    expect(admitJob({...late, isDiscoveringTargets: true})).toMatchObject({
      quote: {latestMs: 2_000},
    });
  });

  it('refuses a job that ends after its caller stops waiting', () => {
    const admission = admitJob({...USUAL, callerTimeLeftMs: 50});
    expect(admission.kind).toBe('refused');
  });

  it('extends waiting times by the share of slots that urgent work takes', () => {
    const waits = {...USUAL, endsMs: [60, 100]};
    expect(admitJob(waits).kind).toBe('admitted');
    expect(admitJob({...waits, urgentShare: 0.6}).kind).toBe('refused');
  });

  it('never quotes more tasks than the job has, and never asks for a retry at once', () => {
    const forecast = fc.record({
      slots: fc.nat(100),
      criticalPathMs: fc.integer({min: 1, max: 2_000}),
      endsMs: fc.array(fc.integer({min: 1, max: 9_000}), {minLength: 1}),
      urgentShare: fc.double({min: 0, max: 2, noNaN: true}),
      objectiveTimeLeftMs: fc.integer({min: -500, max: 4_000}),
      usefulTimeLeftMs: fc.integer({min: -500, max: 9_000}),
      callerTimeLeftMs: fc.integer({min: -500, max: 4_000}),
      loopLagMs: fc.nat(3_000),
      waitingJobs: fc.nat(3_000),
      isDiscoveringTargets: fc.boolean(),
    });
    fc.assert(
      fc.property(forecast, p => {
        const admission = admitJob(p);
        if (admission.kind === 'refused') {
          const {endsMs} = admission.quote;
          expect(endsMs.length).toBeLessThanOrEqual(p.endsMs.length);
          expect(admission.retryAfterMs).toBeGreaterThanOrEqual(250);
        } else {
          expect(Math.max(...p.endsMs)).toBeLessThanOrEqual(p.callerTimeLeftMs);
        }
      }),
    );
  });

  it('admits only jobs that meet their objective under overload by one kind', () => {
    // For five seconds, twice as much work arrives as 20 slots can do.
    const busyUntilMs = Array.from({length: 20}, () => 0);
    let admitted = 0;
    let late = 0;
    let lastEndMs = 0;
    let workMs = 0;
    for (let nowMs = 0; nowMs < 5_000; nowMs += 90) {
      const slotFreeMs = busyUntilMs.map(ms => Math.max(0, ms - nowMs));
      const own = [900, 900, 900, 900];
      const endsMs = expectedEnds(slotFreeMs, [], own);
      const admission = admitJob({
        slots: 20,
        criticalPathMs: 900,
        endsMs,
        urgentShare: 0,
        objectiveTimeLeftMs: 1_500,
        usefulTimeLeftMs: 2_250,
        callerTimeLeftMs: 4_000,
        loopLagMs: 0,
        waitingJobs: 0,
        isDiscoveringTargets: false,
      });
      if (admission.kind === 'admitted') {
        admitted++;
        workMs += 4 * 900;
        late += Math.max(...endsMs) > 1_500 ? 1 : 0;
        for (const endMs of endsMs) {
          const at = busyUntilMs.indexOf(Math.min(...busyUntilMs));
          busyUntilMs[at] = nowMs + endMs;
          lastEndMs = Math.max(lastEndMs, nowMs + endMs);
        }
      }
    }
    expect(admitted).toBeGreaterThan(20);
    expect(late).toBe(0);
    // The slots stay busy although half of the jobs are refused.
    expect(workMs / (20 * lastEndMs)).toBeGreaterThan(0.85);
  });
});
