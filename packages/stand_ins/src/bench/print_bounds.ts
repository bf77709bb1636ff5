import type {Bound} from './bound.js';

const FRACTION_DIGITS = 3;

/**
 * Prints measured values next to their limits.
 *
 * @param title - Name of the measurement.
 * @param bounds - Values and their limits.
 * @returns Whether all bounds hold.
 * @throws Never.
 * @example
 * const held = printBounds('response time', bounds);
 */
export function printBounds(title: string, bounds: readonly Bound[]): boolean {
  process.stdout.write(`\n${title}\n`);
  let allHold = true;
  for (const {name, value, limit, comparison} of bounds) {
    const holds = comparison === 'atMost' ? value <= limit : value >= limit;
    allHold &&= holds;
    const sign = comparison === 'atMost' ? '<=' : '>=';
    const verdict = holds ? 'held' : 'MISSED';
    process.stdout.write(
      `  ${name}: ${round(value)} (${sign} ${limit}) ${verdict}\n`,
    );
  }
  return allHold;
}

function round(value: number): string {
  return Number.isInteger(value)
    ? String(value)
    : value.toFixed(FRACTION_DIGITS);
}
