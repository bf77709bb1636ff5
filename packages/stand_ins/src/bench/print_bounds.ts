import type {Bound} from './bound.js';

const DIGITS = 3;

/**
 * Prints measured values beside their bounds.
 *
 * @param title - Name of the measurement.
 * @param bounds - Values and bounds.
 * @returns Whether all bounds hold.
 * @throws Never.
 * @example
 * const held = printBounds('response time', bounds);
 */
export function printBounds(title: string, bounds: readonly Bound[]): boolean {
  process.stdout.write(`\n${title}\n`);
  let all = true;
  for (const {name, value, limit, is} of bounds) {
    const holds = is === 'atMost' ? value <= limit : value >= limit;
    all &&= holds;
    const sign = is === 'atMost' ? '<=' : '>=';
    const verdict = holds ? 'held' : 'MISSED';
    process.stdout.write(
      `  ${name}: ${round(value)} (${sign} ${limit}) ${verdict}\n`,
    );
  }
  return all;
}

function round(value: number): string {
  return Number.isInteger(value) ? String(value) : value.toFixed(DIGITS);
}
