import type {RegisteredJob} from '@papayarun/protocol';

/**
 * Checks the shape of a received registration.
 *
 * @param value - Decoded registration.
 * @returns The registration.
 * @throws Error that names the field.
 * @example
 * checkRegisteredJob({jobId: '5c0e', registrationId: 'centro-1/81/7',
 *   endsWithinMs: 2_750, runsEndAfterLossMs: 1_250});
 */
export function checkRegisteredJob<T extends RegisteredJob>(value: T): T {
  const fields = (value ?? {}) as unknown as Record<string, unknown>;
  for (const name of ['jobId', 'registrationId']) {
    if (typeof fields[name] !== 'string') {
      throw new Error(`registration: ${name} is missing or not a string`);
    }
  }
  for (const name of ['endsWithinMs', 'runsEndAfterLossMs']) {
    const time = fields[name];
    if (!Number.isFinite(time) || (time as number) < 0) {
      throw new Error(`registration: ${name} is missing or not a time`);
    }
  }
  return value;
}
