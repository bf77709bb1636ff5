import type {ScheduledJob} from '@papayarun/protocol';
import type {CallerPlan} from './caller_plan.js';
import type {SimulatedEntry} from './simulated_entry.js';
import type {SubmissionRecord} from './submission_record.js';
import type {TargetSimulation} from './target_simulation.js';

/** Time after which a caller sends an unanswered job again, in milliseconds. */
const RESEND_MS = 1_300;

/**
 * Caller that sends a job again if it gets no answer or one that tells that a
 * retry may help.
 */
export class SimulatedCaller {
  readonly submissions: SubmissionRecord[] = [];

  constructor(
    private readonly simulation: TargetSimulation,
    private readonly entries: readonly SimulatedEntry[],
    readonly job: ScheduledJob,
    readonly plan: CallerPlan,
  ) {}

  /** Sends the job until it needs no further submission. */
  async run(): Promise<void> {
    const {clock} = this.simulation;
    const {plan} = this;
    await clock.sleep(plan.atMs);
    for (const [n, entry] of plan.entries.entries()) {
      const submission = await this.send(
        entry % this.entries.length,
        n === 0 ? plan.leaveAfterMs : undefined,
      );
      const {outcome} = submission;
      if (submission.leftMs !== undefined || isRetried(outcome)) {
        await clock.sleep(RESEND_MS);
      } else if (
        outcome?.kind === 'completed' &&
        plan.againAfterDoneMs !== undefined
      ) {
        await clock.sleep(plan.againAfterDoneMs);
        await this.send(plan.entries.at(-1)! % this.entries.length, undefined);
        return;
      } else {
        return;
      }
    }
  }

  /** Sends the job once; resolves at the answer, or when the caller leaves. */
  private async send(
    entry: number,
    leaveAfterMs: number | undefined,
  ): Promise<SubmissionRecord> {
    const {clock} = this.simulation;
    const submission: SubmissionRecord = {
      entry,
      sentMs: clock.now(),
      leftMs: undefined,
      answeredMs: undefined,
      outcome: undefined,
      doneTasks: 0,
    };
    this.submissions.push(submission);
    const connection = new AbortController();
    const answered = this.entries[entry]!.submit(
      this.job,
      connection.signal,
    ).then(outcome => {
      submission.outcome = outcome;
      submission.answeredMs = clock.now();
      submission.doneTasks = this.simulation.doneTasksOf(this.job.id);
    });
    if (leaveAfterMs === undefined) {
      await answered;
      return submission;
    }
    await Promise.race([answered, clock.sleep(leaveAfterMs)]);
    if (submission.outcome === undefined) {
      submission.leftMs = clock.now();
      connection.abort();
    }
    return submission;
  }
}

function isRetried(outcome: SubmissionRecord['outcome']): boolean {
  return outcome?.kind === 'failed' && outcome.reason !== 'taskFailed';
}
