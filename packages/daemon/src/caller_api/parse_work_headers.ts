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
 * Parses and validates the work headers of a request.
 *
 * @description A request must either declare itself repeatable or carry an
 * idempotency key.
 * @param headers - Request headers as Node.js provides them, with lower-case names.
 * @param defaultDeadlineMs - Deadline of a request that declares none, in ms.
 * @returns The declared values, with defaults for absent headers.
 * @throws DispatchError with `notRun`, naming the invalid header.
 * @example
 * parseWorkHeaders({'papayarun-repeatable': 'true'}, 30_000).urgency; // 1
 */
export function parseWorkHeaders(
  headers: Headers,
  defaultDeadlineMs: number,
): WorkHeaders {
  const id = getHeader(headers, 'papayarun-id');
  const repeatable =
    getHeader(headers, 'papayarun-repeatable') ?? (id ? 'false' : undefined);
  if (repeatable !== 'true' && repeatable !== 'false') {
    throw createHeaderError(
      'papayarun-repeatable',
      "must be 'true', or papayarun-id must be set",
    );
  }
  if (repeatable === 'false' && id === undefined) {
    throw createHeaderError(
      'papayarun-id',
      'is required for a request that is not repeatable',
    );
  }
  if (id !== undefined) {
    parseRequestKey(id, 'papayarun-id');
  }
  return {
    id: repeatable === 'true' ? undefined : id,
    repeatable: repeatable === 'true',
    kind: parseName(headers, 'papayarun-kind', 'default') as KindId,
    caller: parseName(headers, 'papayarun-caller', 'anonymous') as CallerId,
    team: parseName(headers, 'papayarun-team', 'default') as TeamId,
    urgency:
      parseInteger(headers, 'papayarun-urgency', 0, MAX_URGENCY) ??
      DEFAULT_URGENCY,
    deadlineMs:
      parseInteger(headers, 'papayarun-deadline-ms', 1, MAX_DEADLINE_MS) ??
      defaultDeadlineMs,
    declaredRunMs: parseInteger(
      headers,
      'papayarun-run-ms',
      0,
      MAX_DEADLINE_MS,
    ),
    customer: parseCustomer(headers),
  };
}

function getHeader(headers: Headers, name: string): string | undefined {
  const value = headers[name];
  if (Array.isArray(value)) {
    throw createHeaderError(name, 'must be set only once');
  }
  return value;
}

function parseName(headers: Headers, name: string, fallback: string): string {
  const value = getHeader(headers, name) ?? fallback;
  if (!NAME_PATTERN.test(value)) {
    throw createHeaderError(
      name,
      'must be a lower-case name of at most 64 characters',
    );
  }
  return value;
}

function parseInteger(
  headers: Headers,
  name: string,
  min: number,
  max: number,
): number | undefined {
  const text = getHeader(headers, name);
  if (text === undefined) {
    return undefined;
  }
  const value = /^[0-9]{1,10}$/.test(text) ? Number(text) : NaN;
  if (!(value >= min && value <= max)) {
    throw createHeaderError(name, `must be an integer from ${min} to ${max}`);
  }
  return value;
}

function parseCustomer(headers: Headers): string | undefined {
  const value = getHeader(headers, 'papayarun-customer');
  if (value !== undefined && !CUSTOMER_PATTERN.test(value)) {
    throw createHeaderError(
      'papayarun-customer',
      'must be a name of at most 64 characters',
    );
  }
  return value;
}

function createHeaderError(field: string, problem: string): DispatchError {
  return DispatchError.notRun('badRequest', `${field} ${problem}`, {field});
}
