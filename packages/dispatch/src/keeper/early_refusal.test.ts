import type {
  Announcement,
  CallerId,
  InstanceId,
  KindId,
  Outcome,
  RequestId,
  ServiceId,
  TeamId,
  Work,
} from '@papayarun/protocol';
import {DispatchError, SeededRandom, SystemClock} from '@papayarun/protocol';
import {SilentLog} from '@papayarun/test_kit';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import type {SendResult} from '../target_client/send_result.js';
import type {TargetClient} from '../target_client/target_client.js';
import {TargetRegistry} from '../target_registry/target_registry.js';
import {Keeper} from './keeper.js';

const SERVICE = 'booking' as ServiceId;
const SELF = 'centro-1' as InstanceId;
const NEVER_ABORTED = new AbortController().signal;
const SLOTS = 2;
const RUN_MS = 20;

/** Target client without a network whose runs take RUN_MS on fake timers. */
class TimedClient {
  starts = 0;

  async send(
    _record: unknown,
    _work: Work,
    release: number,
    signal: AbortSignal,
  ): Promise<SendResult> {
    this.starts++;
    await new Promise(resolve => setTimeout(resolve, RUN_MS));
    if (signal.aborted) {
      const {refusal} = DispatchError.mayHaveRun(
        'deadline',
        'the request is already running',
      );
      const outcome: Outcome = {kind: 'refused', refusal};
      return {outcome, resultKind: 'cancelled', runMs: RUN_MS};
    }
    const answer = {
      status: 200,
      contentType: 'application/json',
      body: Buffer.from('{}'),
      release,
    };
    const outcome: Outcome = {kind: 'answered', answer};
    return {outcome, resultKind: 'succeeded', runMs: RUN_MS};
  }
}

function announcement(): Announcement {
  return {
    targetId: 't0',
    boot: 'b0',
    seq: 1,
    state: 'ready',
    service: SERVICE,
    url: 'http://127.0.0.1:1',
    slots: SLOTS,
    connections: 60,
  } as unknown as Announcement;
}

describe('Keeper with more work than one target can run', () => {
  beforeEach(() => {
    vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout', 'performance']});
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('refuses work that cannot be answered in time early, as not run', async () => {
    const clock = SystemClock.create();
    const log = SilentLog.create();
    const client = new TimedClient();
    const registry = TargetRegistry.create({
      self: SELF,
      clock,
      timeoutMs: 60_000,
      handoverMs: 100,
      liveInstances: () => [SELF],
      isDraining: () => false,
      forwardAnnouncement: () => undefined,
    });
    const keeper = Keeper.create({
      clock,
      random: SeededRandom.create(60),
      policy: {
        release: () => 1,
        weightOf: () => 1,
        totalWeight: () => 1,
        teamFraction: () => 1,
        callerFraction: () => 1,
        whenCutOff: () => 'serve',
      },
      log,
      registry,
      client: client as unknown as TargetClient,
      maxWaiting: 20_000,
      retryRatio: 0.1,
      hedgeRatio: 0.05,
    });
    registry.accept(announcement());
    let requestCount = 0;
    const run = (deadlineMs: number): Promise<Outcome> =>
      keeper.run(
        {
          requestId: `r${++requestCount}` as RequestId,
          service: SERVICE,
          kind: 'default' as KindId,
          caller: 'c' as CallerId,
          team: 't' as TeamId,
          urgency: 1,
          deadlineMs,
          repeatable: true,
          path: '/run',
          contentType: 'application/json',
          body: Buffer.alloc(0),
        },
        NEVER_ABORTED,
      );
    const warmUp = async (): Promise<void> => {
      for (let i = 0; i < 30; i++) {
        await run(20_000);
      }
    };
    const warmUps = Promise.all([warmUp(), warmUp()]);
    await vi.advanceTimersByTimeAsync(2_000);
    await warmUps;
    const overload = Promise.all(Array.from({length: 400}, () => run(500)));
    await vi.advanceTimersByTimeAsync(2_000);
    const outcomes = await overload;
    const refused = outcomes.filter(o => o.kind === 'refused');
    expect(refused.length).toBeGreaterThan(300);
    for (const outcome of refused) {
      expect(outcome).toMatchObject({
        refusal: {code: 'deadline', verdict: {kind: 'notRun'}},
      });
    }
    expect(client.starts).toBe(60 + 400 - refused.length);
  });
});
