import type {Membership} from '@papayarun/membership';
import type {
  DataCentreId,
  InstanceId,
  Outcome,
  RequestId,
  Work,
} from '@papayarun/protocol';
import {DispatchError, SeededRandom} from '@papayarun/protocol';
import {MemoryNetwork, SilentLog, VirtualClock} from '@papayarun/test_kit';
import {beforeEach, describe, expect, it} from 'vitest';
import type {Keeper} from '../keeper/keeper.js';
import type {Policy} from '../policy/policy.js';
import {TargetDiscovery} from '../target_discovery/target_discovery.js';
import {Router} from './router.js';

const ENTRY = 'serra-1' as InstanceId;
const HOME = 'centro-1' as InstanceId;
const DEADLINE_MS = 10_000;
const MAX_DELAY_MS = 1;

const WORK: Partial<Work> = {
  requestId: 'centro.1.abc.card-4711' as RequestId,
  repeatable: false,
  deadlineMs: DEADLINE_MS,
};

/** Two instances, of which the second one runs requests with ids. */
class Fixture {
  readonly clock = VirtualClock.create();
  readonly entry: Router;
  readonly home: Router;
  /** Signals of the copies that the home has received, in order. */
  readonly signals: AbortSignal[] = [];
  /** Functions that end the copies, in order. */
  readonly finish: Array<() => void> = [];
  private readonly network = MemoryNetwork.create(
    this.clock,
    SeededRandom.create(17),
    MAX_DELAY_MS,
  );
  readonly entryEnd = this.network.join(ENTRY);

  constructor() {
    this.entry = this.createRouter(this.entryEnd);
    this.home = this.createRouter(this.network.join(HOME));
  }

  /** Forwards a copy of the request for a caller that waits until `signal`. */
  async forward(signal: AbortSignal): Promise<void> {
    void this.entry.forward(HOME, 'entry', WORK as Work, signal);
    await this.clock.advance(2 * MAX_DELAY_MS);
  }

  private createRouter(network: typeof this.entryEnd): Router {
    return Router.create({
      dataCentre: 'centro' as DataCentreId,
      network,
      membership: {liveInDataCentre: () => []} as unknown as Membership,
      keeper: {digests: () => ({})} as unknown as Keeper,
      policy: {} as Policy,
      clock: this.clock,
      log: SilentLog.create(),
      discovery: TargetDiscovery.create(this.clock, 0),
      retryRatio: 0.1,
      isCutOff: () => false,
      runEntry: (_work, signal) => {
        this.signals.push(signal);
        const {refusal} = DispatchError.mayHaveRun('stillRunning', 'waits');
        const outcome: Outcome = {kind: 'refused', refusal};
        return new Promise(resolve => this.finish.push(() => resolve(outcome)));
      },
    });
  }
}

describe('Router', () => {
  let fixture: Fixture;

  beforeEach(() => {
    fixture = new Fixture();
  });

  it('counts a copy of a request that runs on after another one has ended', async () => {
    const {signal} = new AbortController();
    await fixture.forward(signal);
    await fixture.forward(signal);
    fixture.finish[0]!();
    await fixture.clock.advance(2 * MAX_DELAY_MS);
    expect(fixture.home.inProgressForPeers).toBe(1);
  });

  it('cancels the copy of a request whose caller has left, and no other', async () => {
    const first = new AbortController();
    await fixture.forward(first.signal);
    await fixture.forward(new AbortController().signal);
    first.abort();
    await fixture.clock.advance(2 * MAX_DELAY_MS);
    expect(fixture.signals.map(signal => signal.aborted)).toEqual([
      true,
      false,
    ]);
  });

  it('cancels the only copy, and neither of two, for a peer of an earlier version', async () => {
    const {signal} = new AbortController();
    const cancel = async (): Promise<void> => {
      const {requestId} = WORK;
      fixture.entryEnd.notify(HOME, 'cancelDispatch', {
        requestId: requestId!,
      });
      await fixture.clock.advance(2 * MAX_DELAY_MS);
    };
    await fixture.forward(signal);
    await fixture.forward(signal);
    await cancel();
    expect(fixture.signals.some(({aborted}) => aborted)).toBe(false);
    fixture.finish[0]!();
    await fixture.clock.advance(2 * MAX_DELAY_MS);
    await cancel();
    expect(fixture.signals[1]!.aborted).toBe(true);
  });
});
