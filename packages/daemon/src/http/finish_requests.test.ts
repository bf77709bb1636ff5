import {VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {finishRequests} from './finish_requests.js';

/** Server that reads what has arrived before it closes idle connections. */
class UnreadRequests {
  inProgress = 0;
  unread = 0;
  /** Times at which idle connections were closed, in milliseconds. */
  readonly closedIdleAtMs: number[] = [];

  constructor(private readonly clock: VirtualClock) {}

  closeIdleConnections(): Promise<void> {
    this.inProgress += this.unread;
    this.unread = 0;
    this.closedIdleAtMs.push(this.clock.now());
    return Promise.resolve();
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
    expect(app.inProgress).toBe(1);
    app.inProgress = 0;
    await clock.advance(40);
    expect(await done).toBeGreaterThan(100);
  });

  it('takes no request on an idle connection while it waits for others', async () => {
    const clock = VirtualClock.create();
    const app = new UnreadRequests(clock);
    app.inProgress = 1;
    const done = app.finish(1_000);
    await clock.advance(500);
    expect(app.closedIdleAtMs[0]).toBe(0);
    expect(app.closedIdleAtMs.at(-1)).toBeGreaterThan(450);
    app.inProgress = 0;
    await clock.advance(40);
    await done;
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
