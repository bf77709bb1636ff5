import type {
  BootId,
  DataCentreId,
  InstanceId,
  JobId,
  JobOutcome,
  KindId,
  ScheduledJob,
  ServiceId,
  ShardId,
} from '@papayarun/protocol';
import {SilentLog, VirtualClock} from '@papayarun/test_kit';
import type {EvacuationPhase} from '@papayarun/scheduling';
import {Scheduler} from '@papayarun/scheduling';
import {describe, expect, it, vi} from 'vitest';
import {LocalSchedulers} from './local_schedulers.js';
import type {LocalSchedulersOptions} from './local_schedulers_options.js';

const SELF = 'centro-1:7720' as InstanceId;
const ENTRY = 'serra-1:7720' as InstanceId;
const OTHER_ENTRY = 'ribeira-1:7720' as InstanceId;
const SHARD = 'centro' as ShardId;
const BOOT = 'b' as BootId;

/** Job or part of one, which waits for a target if it is promised. */
function jobOf(firstIndex: number, isPromised: boolean): ScheduledJob {
  const needs = {cores: 14, memoryMb: 64, accelerators: 0};
  return {
    id: '5c0e7a21d94b36f8' as JobId,
    kind: 'relato' as KindId,
    service: 'falhas' as ServiceId,
    spec: '',
    steps: [{count: 2, firstIndex, needs, estimateMs: 60, after: []}],
    priority: 0,
    maxAttempts: 4,
    stretch: 1.6,
    slackMs: 60,
    ageMs: 0,
    leftMs: 1_500,
    isPromised,
  };
}

const JOB = jobOf(0, true);

/** Schedulers of one shard, without targets. */
class Fixture {
  readonly clock = VirtualClock.create();
  readonly log = SilentLog.create();
  evacuationPhase: EvacuationPhase = {kind: 'inService'};
  /** Reads what has arrived on the connections. */
  read: () => Promise<void> = () => Promise.resolve();
  private readonly schedulers = LocalSchedulers.create(this.options());

  constructor() {
    this.schedulers.applyGrants(BOOT);
  }

  get local(): LocalSchedulers {
    return this.schedulers;
  }

  /** Submits a job; the outcome is set when the scheduler has concluded it. */
  submit(requester: InstanceId, job: ScheduledJob): {outcome?: JobOutcome} {
    const answer: {outcome?: JobOutcome} = {};
    void this.schedulers.submit(requester, SHARD, job).then(outcome => {
      answer.outcome = outcome;
    });
    return answer;
  }

  private options(): LocalSchedulersOptions {
    const ignore = (): void => undefined;
    const grant = {instanceId: SELF, boot: BOOT, token: 1};
    const store = {
      state: {schedulers: {[SHARD]: grant}, targetShards: {}, evacuations: {}},
    };
    return {
      self: SELF,
      dataCentre: 'centro' as DataCentreId,
      targetClient: {} as LocalSchedulersOptions['targetClient'],
      timing: {maxLeaseMs: 1_000, stopMs: 50, reportMs: 0},
      store: store as unknown as LocalSchedulersOptions['store'],
      clock: this.clock,
      log: this.log,
      metrics: {
        recordJob: ignore,
        recordForecastError: ignore,
        recordFreeSlots: ignore,
      },
      evacuationPhase: () => this.evacuationPhase,
      loopLagMs: () => 0,
      heardMs: () => undefined,
      isHolderActive: () => false,
      catchUp: () => undefined,
      afterNextReading: () => this.read(),
      onAdmitted: ignore,
      onRequesterLost: ignore,
      onLostSubmissionEnded: ignore,
      onTaskLost: ignore,
    };
  }
}

describe('LocalSchedulers', () => {
  // Operators could not see whether an evacuation had taken effect everywhere.
  it('counts the shards that may start tasks', () => {
    const fixture = new Fixture();
    const startable = (): unknown => fixture.local.gauges()['startable_shards'];
    expect(startable()).toBe(1);
    fixture.evacuationPhase = {kind: 'leaving'};
    expect(startable()).toBe(1);
    fixture.evacuationPhase = {kind: 'evacuated'};
    expect(startable()).toBe(0);
    fixture.evacuationPhase = {kind: 'returning', share: 0.25};
    expect(startable()).toBe(1);
  });

  it('answers the submission of a job at once when it is cancelled', async () => {
    const fixture = new Fixture();
    const answer = fixture.submit(ENTRY, JOB);
    await fixture.clock.advance(30);
    expect(answer.outcome).toBeUndefined();
    fixture.local.cancel(ENTRY, JOB.id, 'notice');
    await fixture.clock.advance(0);
    expect(answer.outcome).toMatchObject({
      kind: 'refused',
      reason: 'cancelled',
    });
  });

  // The end of one submission of a job dropped the others of the same job.
  it('cancels a job for an entry after a submission of another entry was refused', async () => {
    const fixture = new Fixture();
    const answer = fixture.submit(ENTRY, JOB);
    const refused = fixture.submit(OTHER_ENTRY, jobOf(2, false));
    await fixture.clock.advance(30);
    expect(refused.outcome).toMatchObject({kind: 'refused'});
    expect(answer.outcome).toBeUndefined();
    fixture.local.cancel(ENTRY, JOB.id, 'notice');
    await fixture.clock.advance(0);
    expect(answer.outcome).toMatchObject({reason: 'cancelled'});
  });

  it('cancels the jobs of a lost link after another submission of them was refused', async () => {
    const fixture = new Fixture();
    const answer = fixture.submit(ENTRY, JOB);
    fixture.submit(ENTRY, jobOf(2, false));
    await fixture.clock.advance(30);
    expect(answer.outcome).toBeUndefined();
    fixture.local.cancelAllOf(ENTRY, 'linkLost');
    await fixture.clock.advance(0);
    expect(answer.outcome).toMatchObject({reason: 'cancelled'});
  });

  // An entry that was paused between its reading and the sending of the job sent
  // both when it went on.
  it.each([
    [
      'starts no job that is cancelled right behind',
      (fixture: Fixture) => fixture.local.cancel(ENTRY, JOB.id, 'notice'),
      {kind: 'refused', reason: 'cancelled'},
    ],
    [
      'starts no job that its caller cancels by its id right behind',
      (fixture: Fixture) => fixture.local.endJob(JOB.id),
      {kind: 'failed', reason: 'cancelledByCaller'},
    ],
  ])('%s', async (_name, cancel, outcome) => {
    const fixture = new Fixture();
    fixture.read = async () => void cancel(fixture);
    const submit = vi.spyOn(Scheduler.prototype, 'submit');
    const answer = fixture.submit(ENTRY, JOB);
    await fixture.clock.advance(0);
    expect(submit).not.toHaveBeenCalled();
    submit.mockRestore();
    expect(answer.outcome).toEqual(expect.objectContaining(outcome));
  });

  it('logs how long an entry had waited for a job that it cancels', async () => {
    const fixture = new Fixture();
    fixture.submit(ENTRY, JOB);
    await fixture.clock.advance(30);
    fixture.local.cancel(ENTRY, JOB.id, 'notice');
    const withdrawn = fixture.log.events.find(
      ({name}) => name === 'submissionWithdrawn',
    );
    expect(withdrawn?.fields).toMatchObject({afterMs: 30, cause: 'notice'});
  });

  it('keeps a job that another entry waits for until that one cancels it too', async () => {
    const fixture = new Fixture();
    const answer = fixture.submit(ENTRY, JOB);
    fixture.submit(OTHER_ENTRY, JOB);
    fixture.local.cancel(ENTRY, JOB.id, 'notice');
    fixture.local.cancel(ENTRY, JOB.id, 'notice');
    await fixture.clock.advance(30);
    expect(answer.outcome).toBeUndefined();
    fixture.local.cancel(OTHER_ENTRY, JOB.id);
    await fixture.clock.advance(0);
    expect(answer.outcome).toMatchObject({reason: 'cancelled'});
  });

  // The whole job went on, since another instance waited for a part of it.
  it('cancels a job beside a part of it that another entry waits for', async () => {
    const fixture = new Fixture();
    const part = {...JOB, steps: [{...JOB.steps[0]!, count: 1}]};
    const ofPart = fixture.submit(OTHER_ENTRY, part);
    const ofJob = fixture.submit(ENTRY, JOB);
    fixture.local.cancel(ENTRY, JOB.id, 'notice');
    await fixture.clock.advance(30);
    expect(ofJob.outcome).toMatchObject({reason: 'cancelled'});
    expect(ofPart.outcome).toBeUndefined();
  });

  it('keeps a job that its entry has submitted again after a cancel', async () => {
    const fixture = new Fixture();
    fixture.submit(ENTRY, JOB);
    fixture.submit(OTHER_ENTRY, JOB);
    fixture.local.cancel(ENTRY, JOB.id, 'notice');
    const again = fixture.submit(ENTRY, JOB);
    fixture.local.cancel(OTHER_ENTRY, JOB.id);
    await fixture.clock.advance(30);
    expect(again.outcome).toBeUndefined();
  });
});
