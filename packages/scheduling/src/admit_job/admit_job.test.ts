import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {expectedEnds} from '../expected_ends/expected_ends.js';
import {admitJob} from './admit_job.js';
import type {JobProspect} from './job_prospect.js';

const USUAL: JobProspect = {
  places: 20,
  chainMs: 60,
  endsMs: [60, 60],
  busyAbove: 0,
  objectiveLeftMs: 156,
  usefulLeftMs: 234,
  callerLeftMs: 2_000,
  waitingJobs: 0,
  isSettling: false,
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
    expect(admitJob({...late, isSettling: true})).toMatchObject({
      quote: {latestMs: 2_000},
    });
  });

  it('refuses when its caller will have left', () => {
    const admission = admitJob({...USUAL, callerLeftMs: 50});
    expect(admission.kind).toBe('refused');
  });

  it('stretches waiting by the places that urgent work takes', () => {
    const waits = {...USUAL, endsMs: [60, 100]};
    expect(admitJob(waits).kind).toBe('admitted');
    expect(admitJob({...waits, busyAbove: 0.6}).kind).toBe('refused');
  });

  it('never quotes more tasks than the job has, nor asks back at once', () => {
    const prospect = fc.record({
      places: fc.nat(100),
      chainMs: fc.integer({min: 1, max: 2_000}),
      endsMs: fc.array(fc.integer({min: 1, max: 9_000}), {minLength: 1}),
      busyAbove: fc.double({min: 0, max: 2, noNaN: true}),
      objectiveLeftMs: fc.integer({min: -500, max: 4_000}),
      usefulLeftMs: fc.integer({min: -500, max: 9_000}),
      callerLeftMs: fc.integer({min: -500, max: 4_000}),
      waitingJobs: fc.nat(3_000),
      isSettling: fc.boolean(),
    });
    fc.assert(
      fc.property(prospect, p => {
        const admission = admitJob(p);
        if (admission.kind === 'refused') {
          const {endsMs} = admission.quote;
          expect(endsMs.length).toBeLessThanOrEqual(p.endsMs.length);
          expect(admission.retryAfterMs).toBeGreaterThanOrEqual(250);
        } else {
          expect(Math.max(...p.endsMs)).toBeLessThanOrEqual(p.callerLeftMs);
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
        places: 20,
        chainMs: 900,
        endsMs,
        busyAbove: 0,
        objectiveLeftMs: 1_500,
        usefulLeftMs: 2_250,
        callerLeftMs: 4_000,
        waitingJobs: 0,
        isSettling: false,
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
