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
  waitingJobs: 0,
  isDiscoveringTargets: false,
};

describe('admitJob', () => {
  it('takes a job that meets its objective', () => {
    expect(admitJob(USUAL)).toMatchObject({kind: 'admitted'});
  });

  it('refuses one that ends after its objective, and says what would fit', () => {
    const admission = admitJob({...USUAL, endsMs: [60, 400]});
    expect(admission).toMatchObject({
      kind: 'refused',
      reason: 'tooLate',
      quote: {endsMs: [60, 400]},
    });
  });

  it('offers to end late only while little waits', () => {
    const late = {...USUAL, endsMs: [60, 200]};
    expect(admitJob(late)).toMatchObject({quote: {latestMs: 234}});
    expect(admitJob({...late, waitingJobs: 5})).toMatchObject({
      quote: {latestMs: 0},
    });
  });

  it('replays a restart: what waits for targets still to report is not refused', () => {
    const late = {...USUAL, endsMs: [60, 900], waitingJobs: 50};
    expect(admitJob(late)).toMatchObject({quote: {latestMs: 0}});
    expect(admitJob({...late, isDiscoveringTargets: true})).toMatchObject({
      quote: {latestMs: 2_000},
    });
  });

  it('refuses when its caller will have left', () => {
    const admission = admitJob({...USUAL, callerTimeLeftMs: 50});
    expect(admission.kind).toBe('refused');
  });

  it('stretches waiting by the places that urgent work takes', () => {
    const waits = {...USUAL, endsMs: [60, 100]};
    expect(admitJob(waits).kind).toBe('admitted');
    expect(admitJob({...waits, urgentShare: 0.6}).kind).toBe('refused');
  });

  it('never quotes more tasks than the job has, nor asks back at once', () => {
    const forecast = fc.record({
      slots: fc.nat(100),
      criticalPathMs: fc.integer({min: 1, max: 2_000}),
      endsMs: fc.array(fc.integer({min: 1, max: 9_000}), {minLength: 1}),
      urgentShare: fc.double({min: 0, max: 2, noNaN: true}),
      objectiveTimeLeftMs: fc.integer({min: -500, max: 4_000}),
      usefulTimeLeftMs: fc.integer({min: -500, max: 9_000}),
      callerTimeLeftMs: fc.integer({min: -500, max: 4_000}),
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

  it('replays a storm of one kind: most admitted jobs meet their objective', () => {
    // Twice as much work arrives as 20 places can do, for five seconds.
    const busyUntilMs = Array.from({length: 20}, () => 0);
    let admitted = 0;
    let late = 0;
    let lastEndMs = 0;
    let workMs = 0;
    for (let nowMs = 0; nowMs < 5_000; nowMs += 90) {
      const places = busyUntilMs.map(ms => Math.max(0, ms - nowMs));
      const own = [900, 900, 900, 900];
      const endsMs = expectedEnds(places, [], own);
      const admission = admitJob({
        slots: 20,
        criticalPathMs: 900,
        endsMs,
        urgentShare: 0,
        objectiveTimeLeftMs: 1_500,
        usefulTimeLeftMs: 2_250,
        callerTimeLeftMs: 4_000,
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
    // The places are kept busy although half is refused.
    expect(workMs / (20 * lastEndMs)).toBeGreaterThan(0.85);
  });
});
