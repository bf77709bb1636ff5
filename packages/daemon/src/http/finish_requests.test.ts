import {VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {finishRequests} from './finish_requests.js';

/** Server whose unread requests are received by `readArrived` alone. */
class UnreadRequests {
  inProgress = 0;
  unread = 0;
  closedIdle = 0;

  constructor(private readonly clock: VirtualClock) {}

  readArrived(): Promise<void> {
    this.inProgress += this.unread;
    this.unread = 0;
    return Promise.resolve();
  }

  async closeIdleConnections(): Promise<void> {
    await this.readArrived();
    this.closedIdle++;
  }

  async finish(untilMs: number): Promise<number> {
    await finishRequests({
      clock: this.clock,
      app: this,
      inProgress: () => this.inProgress,
      untilMs,
    });
    return this.clock.now();
  }
}

describe('finishRequests', () => {
  it('waits for a request that had arrived but was not read when the wait began', async () => {
    const clock = VirtualClock.create();
    const app = new UnreadRequests(clock);
    app.unread = 1;
    const done = app.finish(1_000);
    await clock.advance(100);
    expect(app.closedIdle).toBe(0);
    app.inProgress = 0;
    await clock.advance(40);
    expect(await done).toBeLessThanOrEqual(140);
    expect(app.closedIdle).toBe(1);
  });

  it('waits for a request that arrives while idle connections are closed', async () => {
    const clock = VirtualClock.create();
    const app = new UnreadRequests(clock);
    const close = app.closeIdleConnections.bind(app);
    app.closeIdleConnections = () => {
      app.unread = app.closedIdle === 0 ? 1 : 0;
      return close();
    };
    const done = app.finish(1_000);
    await clock.advance(100);
    expect(app.inProgress).toBe(1);
    app.inProgress = 0;
    await clock.advance(40);
    await done;
    expect(app.closedIdle).toBe(2);
  });

  it('ends at the limit when a request stays in progress', async () => {
    const clock = VirtualClock.create();
    const app = new UnreadRequests(clock);
    app.inProgress = 1;
    const done = app.finish(300);
    await clock.advance(400);
    expect(await done).toBeLessThanOrEqual(400);
  });
});
