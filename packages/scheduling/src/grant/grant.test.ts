import {describe, expect, it} from 'vitest';
import {Grant} from './grant.js';

describe('Grant', () => {
  // Loops of the grant before would go on beside those of the new one.
  it('ends what was begun under an earlier grant only', () => {
    const grant = Grant.create();
    grant.begin(1, 0);
    const {ending} = grant;
    grant.end();
    grant.begin(2, 10);
    expect(ending.aborted).toBe(true);
    expect(grant.ending.aborted).toBe(false);
    expect(grant.token).toBe(2);
  });

  // Unclaimed runs would be stopped too early or too late.
  it('counts handovers from the first one under the grant', () => {
    const grant = Grant.create();
    grant.begin(1, 0);
    grant.recordHandover(5);
    grant.recordHandover(9);
    expect(grant.handedOverMs).toBe(5);
    grant.begin(2, 10);
    expect(grant.handedOverMs).toBeUndefined();
  });
});
