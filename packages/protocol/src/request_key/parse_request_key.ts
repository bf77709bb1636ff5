import type {DataCentreId} from '../ids/data_centre_id.js';
import {DispatchError} from '../dispatch_error/dispatch_error.js';
import type {RequestKey} from './request_key.js';

const KEY_PATTERN =
  /^([a-z][a-z0-9-]{0,31})\.([0-9]{1,9})\.([0-9a-z]{1,8})\.([A-Za-z0-9_-]{8,64})$/;
const SECONDS_RADIX = 36;

/**
 * Parses an idempotency key `dataCentre.generation.seconds.opaque`.
 *
 * @description Seconds are in base 36. The key contains its home data centre,
 * the claim generation and the creation time, so that any instance can detect
 * without stored state that a key is too old to be started.
 * @param text - The key.
 * @param field - Name of the field that contains the key, for the error.
 * @returns The parts of the key.
 * @throws DispatchError with `notRun` when the text is not in this format.
 * @example
 * parseRequestKey('centro.1.t5k2x0.a81bc81b-dead', 'papayarun-id');
 */
export function parseRequestKey(text: string, field: string): RequestKey {
  const match = KEY_PATTERN.exec(text);
  if (!match) {
    throw DispatchError.notRun(
      'badRequest',
      `${field} must have the form dataCentre.generation.seconds.opaque`,
      {field},
    );
  }
  return {
    home: match[1] as DataCentreId,
    generation: Number(match[2]),
    madeAtSeconds: parseInt(match[3]!, SECONDS_RADIX),
    opaque: match[4]!,
  };
}
