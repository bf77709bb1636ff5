import type {KindId, ScheduledJob} from '@papayarun/protocol';
import {brokenRules} from './broken_rules.js';
import type {CallerPlan} from './caller_plan.js';
import {jobOf} from './job_of.js';
import {playFaults} from './play_faults.js';
import type {SearchPlan} from './search_plan.js';
import {SimulatedCaller} from './simulated_caller.js';
import {SimulatedDataCentre} from './simulated_data_centre.js';
import {SimulatedEntry} from './simulated_entry.js';
import {TargetSimulation} from './target_simulation.js';

/** Step of the clock, in milliseconds. */
const STEP_MS = 20;
/** Time after which no caller of a plan can wait for an answer. */
const LAST_ANSWER_MS = 40_000;
/** Time without faults and submissions until all must be quiet. */
const QUIET_MS = 5_000;

/**
 * Plays a plan with emulated data centres.
 *
 * @param plan - The plan.
 * @returns A line for each broken rule, followed by the submissions of each
 *   job; empty if no rule is broken.
 */
export async function playPlan(plan: SearchPlan): Promise<string[]> {
  const simulation = new TargetSimulation(plan.seed);
  const {clock} = simulation;
  simulation.dataCentres = plan.targets.length;
  const centres = plan.targets.map(n => new SimulatedDataCentre(simulation, n));
  const entries = centres.map(
    (own, n) =>
      new SimulatedEntry(clock, `e${n}`, [
        own,
        ...centres.filter(other => other !== own),
      ]),
  );
  await clock.advance(STEP_MS);
  const callers = plan.callers.map(
    (caller, n) =>
      new SimulatedCaller(
        simulation,
        entries,
        jobOfCaller(simulation, n + 1, caller),
        caller,
      ),
  );
  let isOver = false;
  void Promise.all([
    playFaults(simulation, centres, plan.faults),
    ...callers.map(caller => caller.run()),
  ]).then(() => (isOver = true));
  while (!isOver && clock.now() < LAST_ANSWER_MS) {
    await clock.advance(STEP_MS);
  }
  await clock.advance(QUIET_MS);
  const broken = [
    ...brokenRules(simulation, callers),
    ...(await blockedCentres(simulation, centres, entries)),
  ];
  return broken.length > 0 ? [...broken, ...callers.map(describeCaller)] : [];
}

/** Lists the data centres that are not idle or don't complete a new job. */
async function blockedCentres(
  simulation: TargetSimulation,
  centres: readonly SimulatedDataCentre[],
  entries: readonly SimulatedEntry[],
): Promise<string[]> {
  const lines: string[] = [];
  for (const [n, {scheduler}] of centres.entries()) {
    const {runningTasks, waitingJobs} = scheduler.scheduler;
    if (runningTasks > 0 || waitingJobs > 0) {
      lines.push(`${runningTasks} runs, ${waitingJobs} jobs left: centre ${n}`);
    }
  }
  for (const [n, entry] of entries.entries()) {
    const kind = `after${n}` as KindId;
    const job = jobOf(100 + n, {kind});
    let kindOfOutcome = 'none';
    const {signal} = new AbortController();
    void entry.submit(job, signal).then(o => (kindOfOutcome = o.kind));
    await simulation.clock.advance(job.leftMs);
    if (kindOfOutcome !== 'completed') {
      lines.push(`a new job ends ${kindOfOutcome}: centre ${n}`);
    }
  }
  return lines;
}

function jobOfCaller(
  simulation: TargetSimulation,
  n: number,
  {tasks, estimateMs, runMs, leftMs}: CallerPlan,
): ScheduledJob {
  const [step] = jobOf(n).steps;
  const job = jobOf(n, {
    kind: `kind${n}` as KindId,
    steps: [{...step!, count: tasks, estimateMs}],
    leftMs,
  });
  simulation.runMsOfJobs.set(job.id, runMs);
  return job;
}

/** Describes the submissions of a job, for the report of a counterexample. */
function describeCaller({job, submissions}: SimulatedCaller): string {
  const parts = submissions.map(s => {
    const reason =
      s.outcome && 'reason' in s.outcome ? ` ${s.outcome.reason}` : '';
    const left = s.leftMs === undefined ? '' : ` left at ${s.leftMs}`;
    return `entry ${s.entry} at ${s.sentMs}:${left} ${s.outcome?.kind ?? 'none'}${reason} at ${s.answeredMs}`;
  });
  return `${job.id}: ${parts.join('; ')}`;
}
