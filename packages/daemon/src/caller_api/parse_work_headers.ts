import type {CallerId, KindId, TeamId} from '@papayarun/protocol';
import {DispatchError, parseRequestKey} from '@papayarun/protocol';
import type {WorkHeaders} from './work_headers.js';

const NAME_PATTERN = /^[a-z][a-z0-9-]{0,63}$/;
const CUSTOMER_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;
const MAX_URGENCY = 3;
const DEFAULT_URGENCY = 1;
const MAX_DEADLINE_MS = 3_600_000;

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/**
 * Checks the headers of a request.
 *
 * @description A request is either repeatable, which it must say, or carries
 * an idempotency key.
 * @param headers - Headers as Node gives them, names in lower case.
 * @param defaultDeadlineMs - Deadline when none is declared.
 * @returns What was declared, with defaults.
 * @throws DispatchError with `notRun` that names the header.
 * @example
 * parseWorkHeaders({'papayarun-repeatable': 'true'}, 30_000).urgency; // 1
 */
export function parseWorkHeaders(
  headers: Headers,
  defaultDeadlineMs: number,
): WorkHeaders {
  const id = textOf(headers, 'papayarun-id');
  const repeatable =
    textOf(headers, 'papayarun-repeatable') ?? (id ? 'false' : undefined);
  if (repeatable !== 'true' && repeatable !== 'false') {
    throw refuse(
      'papayarun-repeatable',
      "must be 'true', or papayarun-id must be given",
    );
  }
  if (repeatable === 'false' && id === undefined) {
    throw refuse(
      'papayarun-id',
      'must be given for a request that may not be repeated',
    );
  }
  if (id !== undefined) {
    parseRequestKey(id, 'papayarun-id');
  }
  return {
    id: repeatable === 'true' ? undefined : id,
    repeatable: repeatable === 'true',
    kind: nameOf(headers, 'papayarun-kind', 'default') as KindId,
    caller: nameOf(headers, 'papayarun-caller', 'anonymous') as CallerId,
    team: nameOf(headers, 'papayarun-team', 'default') as TeamId,
    urgency:
      integerOf(headers, 'papayarun-urgency', 0, MAX_URGENCY) ??
      DEFAULT_URGENCY,
    deadlineMs:
      integerOf(headers, 'papayarun-deadline-ms', 1, MAX_DEADLINE_MS) ??
      defaultDeadlineMs,
    declaredRunMs: integerOf(headers, 'papayarun-run-ms', 0, MAX_DEADLINE_MS),
    customer: customerOf(headers),
  };
}

function textOf(headers: Headers, name: string): string | undefined {
  const value = headers[name];
  if (Array.isArray(value)) {
    throw refuse(name, 'must be given once');
  }
  return value;
}

function nameOf(headers: Headers, name: string, fallback: string): string {
  const value = textOf(headers, name) ?? fallback;
  if (!NAME_PATTERN.test(value)) {
    throw refuse(name, 'must be a lower-case name of at most 64 characters');
  }
  return value;
}

function integerOf(
  headers: Headers,
  name: string,
  min: number,
  max: number,
): number | undefined {
  const text = textOf(headers, name);
  if (text === undefined) {
    return undefined;
  }
  const value = /^[0-9]{1,10}$/.test(text) ? Number(text) : NaN;
  if (!(value >= min && value <= max)) {
    throw refuse(name, `must be an integer from ${min} to ${max}`);
  }
  return value;
}

function customerOf(headers: Headers): string | undefined {
  const value = textOf(headers, 'papayarun-customer');
  if (value !== undefined && !CUSTOMER_PATTERN.test(value)) {
    throw refuse(
      'papayarun-customer',
      'must be a name of at most 64 characters',
    );
  }
  return value;
}

function refuse(field: string, problem: string): DispatchError {
  return DispatchError.notRun('badRequest', `${field} ${problem}`, {field});
}
