import {describe, expect, it} from 'vitest';
import {EventLogger} from './event_logger.js';

/** Length at which collected lines are cut, in characters. */
const CUT_AT = 200;

describe('EventLogger', () => {
  it('writes what happened early enough for a line that is cut short', () => {
    const lines: string[] = [];
    const fields = {
      instance: 'edge-pioneer-valley-1',
      dataCentre: 'pioneer-valley',
    };
    const log = EventLogger.create(fields, 'info', true, {
      write: line => lines.push(line),
    });
    const jobId = 'c865d4bc4061f2e8';
    const requester = '10.2.0.220:7020';
    log.emit('jobScheduled', {jobId, requester, shard: 'pioneer-valley#1'});
    const [line] = lines;
    const start = line!.slice(0, CUT_AT);
    expect(start).toContain('"eventName":"jobScheduled"');
    expect(start).toContain(jobId);
    expect(start).toContain(requester);
    expect(start).toContain('pioneer-valley#1');
    expect(JSON.parse(line!)).toMatchObject({...fields, name: 'papayarund'});
  });
});
