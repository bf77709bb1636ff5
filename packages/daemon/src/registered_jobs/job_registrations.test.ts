import type {
  InstanceId,
  JobId,
  JobOutcome,
  KindId,
  ScheduledJob,
  ServiceId,
} from '@papayarun/protocol';
import {EMPTY_QUOTE, SeededRandom} from '@papayarun/protocol';
import {MemoryNetwork, SilentLog, VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {JobRegistrar} from './job_registrar.js';
import {JobRegistrations} from './job_registrations.js';

const STATES = ['centro-state', 'serra-state'] as InstanceId[];
const COMPLETED: JobOutcome = {kind: 'completed', samples: []};
const REFUSED: Extract<JobOutcome, {kind: 'refused'}> = {
  kind: 'refused',
  reason: 'tooLate',
  retryAfterMs: 250,
  quote: EMPTY_QUOTE,
};
const CANCELLED: JobOutcome = {...REFUSED, reason: 'cancelled'};
/** Longest time until a registrar knows that a job was released, in milliseconds. */
const RELEASE_MS = 105;
const RUNS_END_AFTER_LOSS_MS = 1_250;
const NEVER = new AbortController().signal;
const JOB: ScheduledJob = {
  id: '5c0e7a21d94b36f8' as JobId,
  kind: 'relato' as KindId,
  service: 'falhas' as ServiceId,
  spec: '',
  steps: [],
  priority: 0,
  maxAttempts: 4,
  stretch: 1.6,
  slackMs: 60,
  ageMs: 0,
  leftMs: 3_000,
  isPromised: false,
};

/** Entry instances with state instances that register their jobs. */
class Group {
  readonly clock = VirtualClock.create();
  readonly log = SilentLog.create();
  readonly starts: string[] = [];
  private readonly network = MemoryNetwork.create(
    this.clock,
    SeededRandom.create(1),
    1,
  );
  readonly registrars = new Map<InstanceId, JobRegistrar>();

  constructor(states: readonly InstanceId[] = STATES) {
    for (const id of states) {
      const network = this.network.join(id);
      const registrar = JobRegistrar.create({clock: this.clock, network});
      this.registrars.set(id, registrar);
    }
  }

  /** Adds a state instance of a version that registers no jobs. */
  addOldState(id: InstanceId): void {
    this.network.join(id).onCall('registerJob', () => {
      throw new Error('unknown call registerJob');
    });
  }

  createEntry(
    id: string,
    registrars: readonly InstanceId[] = STATES,
  ): JobRegistrations {
    return JobRegistrations.create({
      process: `${id}/7`,
      clock: this.clock,
      log: this.log,
      network: this.network.join(id as InstanceId),
      registrars: () => registrars,
      runsEndAfterLossMs: RUNS_END_AFTER_LOSS_MS,
    });
  }

  /** Runs a job by way of an entry, which takes a time in milliseconds. */
  run(
    name: string,
    entry: JobRegistrations,
    runMs: number,
    {outcome = COMPLETED, job = JOB, signal = NEVER} = {},
  ): {outcome?: JobOutcome} {
    const answer: {outcome?: JobOutcome} = {};
    void entry
      .run(job, async () => {
        const other = await entry.register(job, signal);
        if (other || signal.aborted) {
          return other ?? CANCELLED;
        }
        this.starts.push(name);
        await this.clock.sleep(runMs);
        return outcome;
      })
      .then(result => (answer.outcome = result));
    return answer;
  }
}

describe('JobRegistrations', () => {
  it('has a copy wait for the answer of the job', async () => {
    const group = new Group();
    group.run('first', group.createEntry('centro-1'), 400);
    await group.clock.advance(50);
    const copy = group.run('copy', group.createEntry('serra-1'), 400);
    await group.clock.advance(300);
    expect(copy.outcome).toBeUndefined();
    await group.clock.advance(60 + RELEASE_MS);
    expect(copy.outcome).toEqual(COMPLETED);
    expect(group.starts).toEqual(['first']);
    const names = group.log.events.map(({name}) => name);
    expect(names).toEqual(['copyHeld', 'copyAnswered']);
  });

  it('answers a copy at the same entry before a registrar knows of the end', async () => {
    const group = new Group();
    const entry = group.createEntry('centro-1');
    group.run('first', entry, 100);
    await group.clock.advance(110);
    for (const name of ['copy', 'other copy']) {
      const copy = group.run(name, entry, 100);
      await group.clock.advance(10);
      expect(copy.outcome).toEqual(COMPLETED);
    }
    await group.clock.advance(RELEASE_MS);
    const late = group.run('late', entry, 100);
    await group.clock.advance(10);
    expect(late.outcome).toEqual(COMPLETED);
    expect(group.starts).toEqual(['first']);
  });

  it('has a copy run when the job was refused', async () => {
    const group = new Group();
    group.run('first', group.createEntry('centro-1'), 100, {outcome: REFUSED});
    await group.clock.advance(50);
    group.run('copy', group.createEntry('serra-1'), 100);
    await group.clock.advance(60 + RELEASE_MS);
    expect(group.starts).toEqual(['first', 'copy']);
  });

  it('releases a job whose caller left before the answer of the registrar', async () => {
    const group = new Group();
    const caller = new AbortController();
    const {signal} = caller;
    group.run('first', group.createEntry('centro-1'), 100, {signal});
    caller.abort();
    await group.clock.advance(10);
    group.run('copy', group.createEntry('serra-1'), 100);
    await group.clock.advance(10);
    expect(group.starts).toEqual(['copy']);
  });

  it('renews a registration that may have been granted to another process', async () => {
    const group = new Group();
    const entry = group.createEntry('centro-1');
    const outcomes: Array<JobOutcome | undefined> = [];
    void entry.run(JOB, async () => {
      outcomes.push(await entry.register(JOB, NEVER));
      // The process is paused; its link to the registrar is lost.
      await group.clock.sleep(2_000);
      expect(entry.isCurrent(JOB.id)).toBe(false);
      outcomes.push(await entry.register(JOB, NEVER));
      return COMPLETED;
    });
    await group.clock.advance(100);
    group.registrars.forEach(registrar =>
      registrar.recordLoss('centro-1' as InstanceId),
    );
    await group.clock.advance(RUNS_END_AFTER_LOSS_MS);
    group.run('copy', group.createEntry('serra-1'), 400);
    await group.clock.advance(1_500);
    expect(group.starts).toEqual(['copy']);
    expect(outcomes).toEqual([undefined, COMPLETED]);
  });

  it.each([
    {answers: 'no call in time', states: [], hasOldState: false},
    {answers: 'that it does not know the call', states: [], hasOldState: true},
  ])(
    'runs jobs unregistered if the state instance answers $answers',
    async ({states, hasOldState}) => {
      const group = new Group(states);
      const [state] = STATES as [InstanceId];
      if (hasOldState) {
        group.addOldState(state);
      }
      const entry = group.createEntry('centro-1', [state]);
      group.run('first', entry, 100);
      await group.clock.advance(60);
      // Not asked again for a while.
      group.run('second', entry, 100, {job: {...JOB, id: 'other' as JobId}});
      await group.clock.advance(0);
      expect(group.starts).toEqual(['first', 'second']);
      expect(entry.unregisteredJobs).toBe(2);
    },
  );
});
