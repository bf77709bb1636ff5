import {writeFileSync} from 'node:fs';
import process from 'node:process';

/** System-wide monotonic time in milliseconds, comparable between processes. */
export const nowMs = () => Number(process.hrtime.bigint() / 1_000n) / 1_000;

/** Collects what was sent, answered and run, and writes it to a file at the end. */
export class Record {
  constructor(file) {
    this.file = file;
    this.startedMs = nowMs();
    this.events = [];
  }

  add(event) {
    this.events.push({atMs: nowMs(), ...event});
  }

  of(type) {
    return this.events.filter(event => event.type === type);
  }

  write(summary) {
    const lines = [...this.events]
      .sort((a, b) => a.atMs - b.atMs)
      .map(({atMs, ...fields}) => {
        const seconds = ((atMs - this.startedMs) / 1_000).toFixed(4);
        return `${seconds.padStart(9)} ${JSON.stringify(fields)}`;
      });
    writeFileSync(this.file, `${[...summary, '', ...lines].join('\n')}\n`);
  }
}
