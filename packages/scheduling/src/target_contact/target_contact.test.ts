import {describe, expect, it} from 'vitest';
import {TargetContact} from './target_contact.js';

describe('TargetContact', () => {
  it('counts the silence from the first time at which it is noticed', () => {
    let nowMs = 100;
    const contact = TargetContact.create({now: () => nowMs});
    expect(contact.markSilent()).toBe(true);
    nowMs = 150;
    expect(contact.markSilent()).toBe(false);
    expect(contact.silentMs).toBe(50);
    contact.markHeard();
    expect(contact.silentMs).toBe(0);
  });

  // A target whose reports arrive may still answer no orders.
  it('does not take a report for an answer', () => {
    const contact = TargetContact.create({now: () => 0});
    contact.recordFailure();
    contact.markSilent();
    contact.recordReport();
    expect(contact.consecutiveFailures).toBe(1);
    expect(contact.silentSinceMs).toBe(0);
  });
});
