import type {
  InstanceId,
  JobId,
  JobOutcome,
  KindId,
  ScheduledJob,
  ServiceId,
} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import {MemoryNetwork, SilentLog, VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {CancellationRelay} from './cancellation_relay.js';
import type {CancellationResult} from './cancellation_result.js';
import {JobCancellations} from './job_cancellations.js';

const STATES = ['state-1', 'state-2', 'state-3'] as InstanceId[];
const ENTRIES = ['entry-1', 'entry-2', 'entry-3', 'entry-4'] as InstanceId[];
const [STATE_1, STATE_2] = STATES as [InstanceId, InstanceId];
const [ENTRY_1, ENTRY_2, ENTRY_3] = ENTRIES as [
  InstanceId,
  InstanceId,
  InstanceId,
];
const LOST_AFTER_MS = 3_000;
const DEADLINE_MS = 1_500;
const ID = '5c0e7a21d94b36f8' as JobId;
const NEVER = new AbortController().signal;
const CANCELLED = {kind: 'failed', reason: 'cancelledByCaller'};
const JOB: ScheduledJob = {
  id: ID,
  kind: 'relato' as KindId,
  service: 'falhas' as ServiceId,
  spec: '',
  steps: [],
  priority: 0,
  maxAttempts: 1,
  stretch: 1,
  slackMs: 0,
  ageMs: 0,
  leftMs: DEADLINE_MS,
  isPromised: false,
};

/** Entry instances that are linked to the state instances alone. */
class EntryGroup {
  readonly clock = VirtualClock.create();
  readonly network = MemoryNetwork.create(
    this.clock,
    SeededRandom.create(4),
    1,
  );
  readonly cancellations = new Map<InstanceId, JobCancellations>();
  readonly relays = new Map<InstanceId, CancellationRelay>();
  /** Jobs submitted to a scheduler so far. */
  readonly submitted: JobId[] = [];
  /** Jobs ended at the schedulers of an entry, with the entry. */
  readonly ended: string[] = [];
  /** Entry whose schedulers have all jobs, if there is one. */
  scheduledAt: InstanceId | undefined;
  /** Time at which an entry was heard last, where it isn't heard any more. */
  private readonly lastHeardMs = new Map<InstanceId, number>();

  constructor() {
    STATES.forEach(id => this.startState(id));
    ENTRIES.forEach(id => this.startEntry(id));
  }

  /** Starts the process of a state instance, again if there was one. */
  startState(id: InstanceId): void {
    const relay = CancellationRelay.create({
      clock: this.clock,
      network: this.network.join(id),
      entries: heardWithinMs => this.entriesHeard(heardWithinMs),
    });
    this.relays.set(id, relay);
  }

  /** Starts the process of an entry instance, again if there was one. */
  startEntry(id: InstanceId): void {
    const cancellations = JobCancellations.create({
      clock: this.clock,
      log: SilentLog.create(),
      network: this.network.join(id),
      stateInstances: () => STATES,
      endJob: jobId => {
        this.ended.push(`${id} ${jobId}`);
        return this.scheduledAt === id;
      },
    });
    this.cancellations.set(id, cancellations);
  }

  /** Submits a job whose scheduler answers only when its caller has left. */
  submit(
    entry: InstanceId,
    job = JOB,
    signal: AbortSignal = NEVER,
  ): {outcome?: JobOutcome; isAborted?: boolean} {
    const state: {outcome?: JobOutcome; isAborted?: boolean} = {};
    const submit = (
      _job: ScheduledJob,
      either: AbortSignal,
    ): Promise<never> => {
      this.submitted.push(job.id);
      either.addEventListener('abort', () => (state.isAborted = true));
      return new Promise<never>(() => undefined);
    };
    void this.cancellations
      .get(entry)!
      .run(job, signal, submit)
      .then(outcome => (state.outcome = outcome));
    return state;
  }

  cancel(
    entry: InstanceId,
    jobId = ID,
    leftMs?: number,
  ): {result?: CancellationResult; atMs?: number} {
    const state: {result?: CancellationResult; atMs?: number} = {};
    void this.cancellations
      .get(entry)!
      .cancel(jobId, leftMs)
      .then(result => {
        state.result = result;
        state.atMs = this.clock.now();
      });
    return state;
  }

  /** Cuts an entry off from some state instances. */
  cutOff(entry: InstanceId, states: readonly InstanceId[] = STATES): void {
    for (const state of states) {
      this.network.setCut(entry, state, true);
      this.network.setCut(state, entry, true);
    }
    if (states.length === STATES.length) {
      this.lastHeardMs.set(entry, this.clock.now());
    }
  }

  /** Ends all cuts; the state instances have new links to an entry. */
  link(entry: InstanceId): void {
    this.network.heal();
    this.lastHeardMs.delete(entry);
    for (const state of STATES) {
      this.relays.get(state)!.tellMissed(entry);
      this.cancellations.get(entry)!.tellMissed(state);
    }
  }

  private entriesHeard(withinMs: number): InstanceId[] {
    const sinceMs = this.clock.now() - withinMs;
    return ENTRIES.filter(
      id => (this.lastHeardMs.get(id) ?? Infinity) >= sinceMs,
    );
  }
}

describe('A cancelled job', () => {
  it('does not go on at another entry, and its caller there is answered at once', async () => {
    const group = new EntryGroup();
    const request = group.submit(ENTRY_2);
    const cancelled = group.cancel(ENTRY_1);
    await group.clock.advance(20);
    expect(request).toEqual({outcome: CANCELLED, isAborted: true});
    expect(cancelled.result).toBe('cancelled');
    expect(new Set(group.ended)).toEqual(
      new Set(ENTRIES.map(id => `${id} ${ID}`)),
    );
  });

  // Its scheduler ends it before the entry that submitted it is told.
  it('is not said to be unknown when its scheduler has it', async () => {
    for (const entry of [ENTRY_1, ENTRY_2]) {
      const group = new EntryGroup();
      group.scheduledAt = entry;
      const cancelled = group.cancel(ENTRY_1);
      await group.clock.advance(20);
      expect(cancelled.result).toBe('cancelled');
    }
  });

  it('does not start when a copy arrives at any entry later', async () => {
    const group = new EntryGroup();
    const cancelled = group.cancel(ENTRY_1);
    await group.clock.advance(20);
    expect(cancelled.result).toBe('notFound');
    await group.clock.advance(100_000);
    const requests = ENTRIES.map(entry => group.submit(entry));
    await group.clock.advance(1);
    expect(requests.map(({outcome}) => outcome)).toEqual(
      ENTRIES.map(() => CANCELLED),
    );
    expect(group.submitted).toEqual([]);
  });

  it('is not said to be cancelled while an entry that may have it is cut off', async () => {
    const group = new EntryGroup();
    group.submit(ENTRY_3);
    group.cutOff(ENTRY_3);
    const cancelled = group.cancel(ENTRY_1, ID, DEADLINE_MS);
    await group.clock.advance(DEADLINE_MS);
    expect(cancelled.result).toBe('unconfirmed');
    expect(cancelled.atMs).toBeLessThan(DEADLINE_MS);
  });

  it('does not go on at an entry that was cut off once it is linked again', async () => {
    const group = new EntryGroup();
    const request = group.submit(ENTRY_3);
    group.cutOff(ENTRY_3);
    const cancelled = group.cancel(ENTRY_1);
    await group.clock.advance(1_000);
    expect(request.outcome).toBeUndefined();
    group.link(ENTRY_3);
    await group.clock.advance(5);
    expect(request.outcome).toEqual(CANCELLED);
    await group.clock.advance(1_000);
    expect(cancelled.result).toBe('cancelled');
  });

  it('is confirmed without an entry that is silent for long, which learns of it later', async () => {
    const group = new EntryGroup();
    group.cutOff(ENTRY_3);
    const cancelled = group.cancel(ENTRY_1);
    await group.clock.advance(LOST_AFTER_MS + 500);
    expect(cancelled.result).toBe('notFound');
    expect(cancelled.atMs).toBeGreaterThan(LOST_AFTER_MS);
    await group.clock.advance(20_000);
    group.link(ENTRY_3);
    await group.clock.advance(5);
    group.submit(ENTRY_3);
    expect(group.submitted).toEqual([]);
  });

  it('does not start at a restarted entry, also after a restart of the state instances', async () => {
    const group = new EntryGroup();
    const cancelled = group.cancel(ENTRY_1);
    await group.clock.advance(20);
    expect(cancelled.result).toBe('notFound');
    STATES.forEach(id => group.startState(id));
    group.link(ENTRY_1);
    await group.clock.advance(5);
    group.startEntry(ENTRY_3);
    group.link(ENTRY_3);
    await group.clock.advance(5);
    group.submit(ENTRY_3);
    expect(group.submitted).toEqual([]);
  });

  it('is confirmed by way of the state instances that reach an entry', async () => {
    const group = new EntryGroup();
    const request = group.submit(ENTRY_3);
    group.cutOff(ENTRY_3, [STATE_1, STATE_2]);
    const cancelled = group.cancel(ENTRY_1);
    await group.clock.advance(500);
    expect(request.outcome).toEqual(CANCELLED);
    expect(cancelled.result).toBe('cancelled');
  });

  it('is not said to be cancelled by an entry that reaches no state instance', async () => {
    const group = new EntryGroup();
    const request = group.submit(ENTRY_1);
    group.cutOff(ENTRY_1);
    const cancelled = group.cancel(ENTRY_1);
    await group.clock.advance(5_000);
    expect(cancelled.result).toBe('unconfirmed');
    expect(request.outcome).toEqual(CANCELLED);
  });

  it('leaves other jobs, and those whose callers leave, as they are', async () => {
    const group = new EntryGroup();
    const other = {...JOB, id: 'd94b36f85c0e7a21' as JobId};
    const caller = new AbortController();
    const kept = group.submit(ENTRY_2, other);
    const left = group.submit(
      ENTRY_3,
      {...JOB, id: 'e' as JobId},
      caller.signal,
    );
    caller.abort();
    group.cancel(ENTRY_1);
    await group.clock.advance(20);
    expect(kept).toEqual({});
    expect(left).toEqual({isAborted: true});
  });

  it('causes no more messages when many are cancelled at all entries', async () => {
    const group = new EntryGroup();
    const results = Array.from({length: 2_000}, (_, n) => {
      const jobId = n.toString(16).padStart(16, '0') as JobId;
      return group.cancel(ENTRIES[n % ENTRIES.length]!, jobId);
    });
    await group.clock.advance(1_000);
    expect(new Set(results.map(({result}) => result))).toEqual(
      new Set(['notFound']),
    );
    // One round of each entry, and at most one a round of each state instance.
    const calls = ENTRIES.length * STATES.length;
    expect(group.network.messageCount).toBeLessThanOrEqual(
      2 * (calls + calls * ENTRIES.length),
    );
  });

  it('causes no more messages a second when an entry confirms nothing', async () => {
    const group = new EntryGroup();
    group.cutOff(ENTRY_3, STATES);
    for (let n = 0; n < 1_000; n++) {
      group.cancel(ENTRY_1, n.toString(16).padStart(16, '0') as JobId);
      await group.clock.advance(1);
    }
    const calls = STATES.length * (1 + ENTRIES.length);
    const roundsPerSecond = 20;
    expect(group.network.messageCount).toBeLessThanOrEqual(
      2 * calls * roundsPerSecond,
    );
  });
});
