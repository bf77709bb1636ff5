import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {matchPath} from './match_path.js';

describe('matchPath', () => {
  it('matches named segments and the rest of the path', () => {
    expect(matchPath('/v1/jobs/:id', '/v1/jobs/a%2Fb')).toEqual({id: 'a/b'});
    expect(matchPath('/v1/services/:service/*', '/v1/services/x/a/b')).toEqual({
      service: 'x',
      rest: 'a/b',
    });
    expect(matchPath('/v1/jobs/:id', '/v1/jobs')).toBeUndefined();
    expect(matchPath('/v1/jobs/:id', '/v1/jobs/a/b')).toBeUndefined();
    expect(matchPath('/v1/jobs/:id', '/v1/jobs/%E0%A4%A')).toBeUndefined();
  });

  it('does not throw for arbitrary paths', () => {
    fc.assert(
      fc.property(fc.string(), path => {
        matchPath('/v1/services/:service/*', path);
      }),
      {seed: 15},
    );
  });
});
