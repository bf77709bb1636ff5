import {writeFile} from 'node:fs/promises';
import {performance} from 'node:perf_hooks';

/** What was sent, answered and run, in the order in which the case saw it. */
export class History {
  constructor() {
    this.events = [];
    this.startedMs = performance.now();
  }

  add(event) {
    this.events.push({
      atMs: Math.round(performance.now() - this.startedMs),
      ...event,
    });
  }

  /** Pairs of runs of one task that were on runners at the same time. */
  overlaps() {
    const open = new Map();
    const found = [];
    for (const event of this.events) {
      if (event.what === 'started') {
        const others = open.get(event.task) ?? new Map();
        for (const other of others.values()) {
          found.push({task: event.task, first: other, second: event});
        }
        others.set(`${event.runner} ${event.run}`, event);
        open.set(event.task, others);
      } else if (event.what === 'ended') {
        open.get(event.task)?.delete(`${event.runner} ${event.run}`);
      }
    }
    return found;
  }

  async write(file, head) {
    const lines = this.events.map(
      ({atMs, ...rest}) =>
        `${String(atMs).padStart(6)} ms  ${Object.entries(rest)
          .map(
            ([k, v]) => `${k}=${typeof v === 'object' ? JSON.stringify(v) : v}`,
          )
          .join(' ')}`,
    );
    await writeFile(file, [...head, '', ...lines, ''].join('\n'));
  }
}
