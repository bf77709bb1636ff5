/** Time for an order to be carried out after its caller has left, in ms. */
const SLACK_MS = 250;
/** Length of the id of a job, which the id of each of its tasks begins with. */
const JOB_ID_LENGTH = 16;

/** Times in which a caller waits for each job, by the id of the job. */
function waitsOf(record) {
  const waits = new Map();
  for (const {type, job, atMs} of record.events) {
    if (type === 'sent') {
      waits.set(job, [
        ...(waits.get(job) ?? []),
        {fromMs: atMs, toMs: Infinity},
      ]);
    } else if (type === 'answered') {
      waits.get(job).at(-1).toMs = atMs;
    }
  }
  return waits;
}

/** Starts of tasks at times at which no caller waits for their job, in words. */
export function unawaitedStarts(record) {
  const waits = waitsOf(record);
  return record
    .of('started')
    .filter(({task, atMs}) =>
      (waits.get(task.slice(0, JOB_ID_LENGTH)) ?? []).every(
        ({fromMs, toMs}) => atMs < fromMs || atMs > toMs + SLACK_MS,
      ),
    )
    .map(
      ({task, runner, atMs}) =>
        `${task}: started on ${runner} at ${((atMs - record.startedMs) / 1_000).toFixed(3)} s, no caller waits`,
    );
}
