import {VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {waitUntilUnused} from './wait_until_unused.js';

/** Server whose unread requests are received by `readArrived` alone. */
class UnreadRequests {
  receivedFromClients = 0;
  unread = 0;

  readArrived(): Promise<void> {
    this.receivedFromClients += this.unread;
    this.unread = 0;
    return Promise.resolve();
  }
}

describe('waitUntilUnused', () => {
  function startWait(
    clock: VirtualClock,
    app: UnreadRequests,
  ): () => number | undefined {
    let endedMs: number | undefined;
    void waitUntilUnused({clock, app, unusedMs: 500, limitMs: 3_000}).then(
      () => (endedMs = clock.now()),
    );
    return () => endedMs;
  }

  it('ends after the given time when no request comes', async () => {
    const clock = VirtualClock.create();
    const endedMs = startWait(clock, new UnreadRequests());
    await clock.advance(499);
    expect(endedMs()).toBeUndefined();
    await clock.advance(1);
    expect(endedMs()).toBe(500);
  });

  it('does not close the port on a load balancer that is late to notice', async () => {
    const clock = VirtualClock.create();
    const app = new UnreadRequests();
    const endedMs = startWait(clock, app);
    for (let atMs = 0; atMs < 1_600; atMs += 400) {
      await clock.advance(400);
      app.unread = 1;
    }
    await clock.advance(499);
    expect(endedMs()).toBeUndefined();
    await clock.advance(50);
    expect(endedMs()).toBeGreaterThanOrEqual(2_100);
  });

  it('waits on when a request had arrived but was not read while the process stood still', async () => {
    const clock = VirtualClock.create();
    const app = new UnreadRequests();
    const endedMs = startWait(clock, app);
    await clock.advance(490);
    app.unread = 1;
    await clock.advance(100);
    expect(endedMs()).toBeUndefined();
  });

  it('ends at the limit when clients never cease to send requests', async () => {
    const clock = VirtualClock.create();
    const app = new UnreadRequests();
    const endedMs = startWait(clock, app);
    for (let atMs = 0; atMs < 3_200; atMs += 100) {
      app.unread = 1;
      await clock.advance(100);
    }
    expect(endedMs()).toBe(3_000);
  });
});
