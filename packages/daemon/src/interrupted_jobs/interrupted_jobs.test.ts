import type {
  DataCentreId,
  InFlightJob,
  InstanceId,
  JobId,
  ScheduledJob,
  SubmissionId,
} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import type {MemoryNetworkEnd} from '@papayarun/test_kit';
import {MemoryNetwork, SilentLog, VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {InterruptedJobRelay} from './interrupted_job_relay.js';
import {InterruptedJobs} from './interrupted_jobs.js';

const CENTRO = 'centro' as DataCentreId;
const STATE = 'core-1' as InstanceId;
const LEASE_MS = 1_070;
const NEVER = new AbortController().signal;

function jobOf(n: number): ScheduledJob {
  return {id: `${n}` as JobId, leftMs: 1_500} as ScheduledJob;
}

/** Entry instances, linked in a row only, and a state instance linked to all. */
class EntryRow {
  readonly clock = VirtualClock.create();
  readonly entries: InterruptedJobs[] = [];
  /** Notices of interrupted jobs that the entry instances have received. */
  received: Array<readonly InFlightJob[]> = [];
  private readonly network = MemoryNetwork.create(
    this.clock,
    SeededRandom.create(2),
    1,
  );
  private readonly ids: InstanceId[];

  constructor(size: number) {
    this.ids = Array.from({length: size}, (_, n) => `e-${n}` as InstanceId);
    this.ids.forEach((_, n) => this.addEntry(n));
    const all = new Map(this.ids.map(id => [id, CENTRO]));
    InterruptedJobRelay.create({
      clock: this.clock,
      log: SilentLog.create(),
      network: this.network.join(STATE),
      entries: () => all,
    });
  }

  /** Time after which an entry would submit a job, in milliseconds. */
  async waitAt(n: number, job: ScheduledJob): Promise<number> {
    const startedMs = this.clock.now();
    let endedMs: number | undefined;
    void this.entries[n]!.waitUntilEnded(job, NEVER).then(
      () => (endedMs = this.clock.now()),
    );
    await this.clock.advance(2_000);
    return endedMs! - startedMs;
  }

  private addEntry(n: number): void {
    const self = this.ids[n]!;
    const end = this.network.join(self);
    const neighbours = this.ids.filter((_, m) => Math.abs(m - n) === 1);
    const links = new Map(neighbours.map(id => [id, CENTRO]));
    this.entries.push(
      InterruptedJobs.create({
        self,
        dataCentre: CENTRO,
        clock: this.clock,
        random: SeededRandom.create(n),
        log: SilentLog.create(),
        network: this.counted(end),
        entries: () => links,
        stateInstances: () => [STATE],
        inFlightKeepers: () => new Map(),
        runsEndAfterMs: LEASE_MS,
      }),
    );
  }

  private counted(
    end: MemoryNetworkEnd,
  ): Pick<MemoryNetworkEnd, 'notify' | 'onNotice'> {
    return {
      notify: (to, type, notice) => end.notify(to, type, notice),
      onNotice: (type, handler) =>
        end.onNotice(type, (from, notice) => {
          if (type === 'interruptedJobs') {
            this.received.push((notice as {jobs: InFlightJob[]}).jobs);
          }
          handler(from, notice);
        }),
    };
  }
}

describe('InterruptedJobs', () => {
  it('holds the job of a lost instance at an entry without a link to its backups', async () => {
    const row = new EntryRow(5);
    row.entries[0]!.recordSubmission(jobOf(1));
    await row.clock.advance(20);
    row.entries[1]!.recordLoss('e-0' as InstanceId);
    await row.clock.advance(5);
    const waitedMs = await row.waitAt(4, jobOf(1));
    expect(waitedMs).toBeGreaterThan(LEASE_MS - 10);
    expect(waitedMs).toBeLessThanOrEqual(LEASE_MS);
    expect(await row.waitAt(4, jobOf(2))).toBe(0);
  });

  it('lets a job go everywhere when its runs have ended', async () => {
    const row = new EntryRow(5);
    const submissionId = row.entries[0]!.recordSubmission(jobOf(1));
    row.entries[0]!.recordInterruption(jobOf(1).id, submissionId);
    await row.clock.advance(10);
    expect(row.entries[4]!.mayRun(jobOf(1).id)).toBe(true);
    row.entries[0]!.recordEnd(jobOf(1).id, submissionId);
    await row.clock.advance(10);
    for (const entry of row.entries) {
      expect(entry.mayRun(jobOf(1).id)).toBe(false);
    }
  });

  it('lets a job go everywhere when it has ended after its entry lost only a link', async () => {
    const row = new EntryRow(5);
    const submissionId = row.entries[0]!.recordSubmission(jobOf(1));
    await row.clock.advance(20);
    row.entries[1]!.recordLoss('e-0' as InstanceId);
    await row.clock.advance(10);
    expect(row.entries[4]!.mayRun(jobOf(1).id)).toBe(true);
    row.entries[0]!.recordEnd(jobOf(1).id, submissionId);
    await row.clock.advance(10);
    for (const entry of row.entries) {
      expect(entry.mayRun(jobOf(1).id)).toBe(false);
    }
  });

  it('sends a bounded number of notices, however many callers leave', async () => {
    const row = new EntryRow(3);
    for (let n = 0; n < 5_000; n++) {
      const submissionId = `e-0/${n}` as SubmissionId;
      row.entries[0]!.recordInterruption(`${n}` as JobId, submissionId);
      if (n % 5 === 0) {
        await row.clock.advance(1);
      }
    }
    // In 1 s, a burst of ten and 200 more from the entry to its one neighbour, and
    // from the relay to all three.
    expect(row.received.length).toBeLessThanOrEqual(4 * 211);
  });
});
