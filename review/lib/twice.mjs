/** Overlaps below this are ignored, since events of two processes are compared. */
const MIN_OVERLAP_MS = 5;

/** Runs of tasks with their time; a run on a killed runner ends with the runner. */
function runsOf(record) {
  const open = new Map();
  const runs = [];
  const endOf = {started: undefined};
  for (const event of [...record.events].sort((a, b) => a.atMs - b.atMs)) {
    const key = `${event.runner} ${event.born} ${event.task} ${event.run}`;
    if (event.type === 'started') {
      const run = {...event, endMs: Infinity, how: endOf.started};
      runs.push(run);
      open.set(key, run);
    } else if (event.type === 'ended') {
      Object.assign(open.get(key), {endMs: event.atMs, how: event.how});
      open.delete(key);
    } else if (
      event.type === 'exit' ||
      (event.type === 'signal' && event.signal === 'SIGKILL')
    ) {
      for (const [k, run] of open) {
        if (run.runner === event.process) {
          Object.assign(run, {endMs: event.atMs, how: 'runner killed'});
          open.delete(k);
        }
      }
    }
  }
  return runs;
}

/** Pairs of runs of one task that ran at the same time, in words. */
export function overlaps(record) {
  const byTask = new Map();
  for (const run of runsOf(record)) {
    byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]);
  }
  const found = [];
  for (const [task, runs] of byTask) {
    for (let i = 1; i < runs.length; i++) {
      for (const earlier of runs.slice(0, i)) {
        const later = runs[i];
        const ms = Math.min(earlier.endMs, later.endMs) - later.atMs;
        if (ms >= MIN_OVERLAP_MS) {
          const of = ({run, runner, atMs}) =>
            `run ${run} on ${runner} from ${((atMs - record.startedMs) / 1_000).toFixed(3)} s`;
          found.push(
            `${task}: ${of(earlier)} and ${of(later)}, ${ms.toFixed(0)} ms at once`,
          );
        }
      }
    }
  }
  return found;
}
