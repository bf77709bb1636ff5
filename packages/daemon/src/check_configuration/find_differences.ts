import type {CheckedConfiguration} from './checked_configuration.js';
import type {ConfigurationFinding} from './configuration_finding.js';

type Path = ConfigurationFinding['path'];

/** Longest value that a message shows in full, in characters. */
const MAX_SHOWN_LENGTH = 120;

/**
 * Finds the differences between two configurations, field by field.
 *
 * @description Queues are matched by host and prefix, services by name. Fields that
 * are invalid in one of the configurations are not compared.
 * @param before - Configuration in force.
 * @param after - Configuration that is to replace it.
 * @returns Findings of severity `change`; the path of a removed entry is its
 *   place in the configuration in force.
 * @throws Never.
 * @example
 * const changes = findDifferences(inForce, next);
 */
export function findDifferences(
  before: CheckedConfiguration,
  after: CheckedConfiguration,
): ConfigurationFinding[] {
  const {queues, services, ...fields} = before;
  const {queues: nextQueues, services: nextServices, ...nextFields} = after;
  return [
    ...compareValues([], fields, nextFields),
    ...compareEntries('queues', queues, nextQueues, ({host, pathPrefix}) =>
      host === undefined || pathPrefix === undefined
        ? undefined
        : `${host.toLowerCase()}${pathPrefix}`,
    ),
    ...compareEntries('services', services, nextServices, ({name}) => name),
  ];
}

function compareEntries<T extends object>(
  list: string,
  before: readonly T[],
  after: readonly T[],
  keyOf: (entry: T) => string | undefined,
): ConfigurationFinding[] {
  const findings: ConfigurationFinding[] = [];
  const keysAfter = new Set(after.map(keyOf));
  const previous = new Map(before.map(entry => [keyOf(entry), entry]));
  after.forEach((entry, i) => {
    const key = keyOf(entry);
    const earlier = previous.get(key);
    if (key === undefined) {
      return;
    }
    findings.push(
      ...(earlier
        ? compareValues([list, i], earlier, entry)
        : [change([list, i], `added: ${key}`)]),
    );
  });
  before.forEach((entry, i) => {
    const key = keyOf(entry);
    if (key !== undefined && !keysAfter.has(key)) {
      findings.push(change([list, i], `removed: ${key}`));
    }
  });
  return findings;
}

function compareValues(
  path: Path,
  before: unknown,
  after: unknown,
): ConfigurationFinding[] {
  if (!isComposite(before) || !isComposite(after)) {
    return before === after
      ? []
      : [change(path, `changed from ${show(before)} to ${show(after)}`)];
  }
  const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...keys].flatMap(key => {
    const keyPath = [...path, key];
    if (!Object.hasOwn(before, key)) {
      const added = after[key];
      return added === undefined
        ? []
        : [change(keyPath, `added: ${show(added)}`)];
    }
    const removed = before[key];
    if (!Object.hasOwn(after, key)) {
      return removed === undefined
        ? []
        : [change(keyPath, `removed: ${show(removed)}`)];
    }
    return removed === undefined || after[key] === undefined
      ? []
      : compareValues(keyPath, removed, after[key]);
  });
}

function isComposite(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}

function change(path: Path, message: string): ConfigurationFinding {
  return {severity: 'change', path, message};
}

function show(value: unknown): string {
  const text = JSON.stringify(value);
  return text.length > MAX_SHOWN_LENGTH
    ? `${text.slice(0, MAX_SHOWN_LENGTH)}...`
    : text;
}
