import type {Heartbeat, InstanceRole} from '@papayarun/protocol';

const ROLES: readonly InstanceRole[] = ['all', 'entry', 'state'];
const STATES: ReadonlyArray<Heartbeat['state']> = [
  'starting',
  'ready',
  'draining',
];

type FieldCheck = (value: unknown) => boolean;

/** Checks of the fields; a field that is absent where it may be is not checked. */
const CHECKS: Readonly<Record<keyof Heartbeat, FieldCheck>> = {
  boot: isText,
  dataCentre: isText,
  role: value => ROLES.includes(value as InstanceRole),
  state: value => STATES.includes(value as Heartbeat['state']),
  stateIndex: isAmount,
  // A leader without other voters is ahead of its own clock reading by a moment.
  currentAgeMs: isNumber,
  digest: value =>
    isRecord(value) && isRecord(value['own']) && isRecord(value['dataCentre']),
  intervalMs: isOptional(isAmount),
  leads: isOptional(value => typeof value === 'boolean'),
  registersJobs: isOptional(value => typeof value === 'boolean'),
  appliesEvacuations: isOptional(value => typeof value === 'boolean'),
  maxTargets: isOptional(isAmount),
  inFlightIntervalMs: isOptional(isAmount),
};

/**
 * Checks the shape of a received heartbeat.
 *
 * @description A heartbeat is kept as the state of its sender, so one that lacks
 * a field would end each loop that reads it later. Fields that a later version
 * has added are let through.
 * @param value - Decoded message.
 * @returns The heartbeat.
 * @throws Error that names the field.
 * @example
 * checkHeartbeat(null); // throws 'heartbeat: expected a map'
 */
export function checkHeartbeat(value: unknown): Heartbeat {
  if (!isRecord(value)) {
    throw new Error('heartbeat: expected a map');
  }
  for (const [field, isValid] of Object.entries(CHECKS)) {
    if (!isValid(value[field])) {
      throw new Error(`heartbeat: ${field} is missing or of a wrong type`);
    }
  }
  return value as unknown as Heartbeat;
}

function isText(value: unknown): boolean {
  return typeof value === 'string';
}

function isNumber(value: unknown): boolean {
  return typeof value === 'number' && !Number.isNaN(value);
}

function isAmount(value: unknown): boolean {
  return isNumber(value) && (value as number) >= 0;
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isOptional(check: FieldCheck): FieldCheck {
  return value => value === undefined || value === null || check(value);
}
