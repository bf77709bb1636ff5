import type {WorkQueue} from '../work_queue/work_queue.js';
import type {CheckedConfiguration} from './checked_configuration.js';
import type {ConfigurationFinding} from './configuration_finding.js';
import {findDifferences} from './find_differences.js';

/** Limits of the process, by which those of the configuration are bounded. */
type ProcessLimits = Readonly<
  Required<Omit<CheckedConfiguration['limits'], 'otherFields'>>
>;

/**
 * Shortest time of an attempt, in ms: a round trip to a target. An attempt that
 * fails immediately is followed by the next one without a delay.
 */
const MIN_ATTEMPT_MS = 1;
/** Part of a job's path after the prefix. */
const JOB_ID = '0123456789abcdef';
const BASE_URL = 'http://papayarun';
const PORT_PATTERN = /:\d+$/;
const HOST_PATTERN = /^[\w.~%[\]:-]+$/;

/**
 * Checks a configuration before it is sent.
 *
 * @param cfg - Configuration to check.
 * @param bounds - Limits of the process that will use it.
 * @param inForce - Configuration in force, if it is known.
 * @returns Errors, warnings, and differences from the configuration in force.
 * @throws Never.
 * @example
 * const findings = checkConfiguration(next, limits, inForce);
 */
export function checkConfiguration(
  cfg: CheckedConfiguration,
  bounds: ProcessLimits,
  inForce?: CheckedConfiguration,
): ConfigurationFinding[] {
  return [
    ...(inForce ? checkRevision(cfg, inForce) : []),
    ...checkReferences(cfg),
    ...cfg.queues.flatMap(checkQueue),
    ...checkLimits(cfg.limits, bounds),
    ...(inForce ? findDifferences(inForce, cfg) : []),
  ];
}

function checkRevision(
  {revision}: CheckedConfiguration,
  {revision: current}: CheckedConfiguration,
): ConfigurationFinding[] {
  if (current === undefined) {
    return [error(['revision'], 'the one in force has no valid number here')];
  }
  return revision !== undefined && revision <= current
    ? [error(['revision'], `not above ${current}, which is in force`)]
    : [];
}

/** Checks what refers to other entries: services, equal keys, spellings. */
function checkReferences({
  queues,
  services,
}: CheckedConfiguration): ConfigurationFinding[] {
  const findings: ConfigurationFinding[] = [];
  const names = new Set<string>();
  const used = new Set<string | undefined>(queues.map(q => q.service));
  services.forEach(({name}, i) => {
    if (name === undefined) {
      return;
    }
    if (names.has(name)) {
      findings.push(warning(['services', i], `${name} is listed before`));
    } else if (!used.has(name)) {
      findings.push(warning(['services', i], `nothing uses ${name}`));
    }
    names.add(name);
  });
  const byKey = new Map<string, Partial<WorkQueue>>();
  queues.forEach((queue, i) => {
    const {host, pathPrefix, service} = queue;
    if (service !== undefined && !names.has(service)) {
      findings.push(error(['queues', i, 'service'], `no service ${service}`));
    }
    if (host === undefined || pathPrefix === undefined) {
      return;
    }
    const key = keyOf(host, pathPrefix);
    if (byKey.has(key)) {
      const message = `${describe(byKey.get(key)!)} has the same host and prefix`;
      findings.push(error(['queues', i, 'pathPrefix'], message));
    } else {
      byKey.set(key, queue);
    }
  });
  return [
    ...findings,
    ...queues.flatMap((queue, i) => checkMatching(queue, i, byKey)),
  ];
}

/** Checks whether a request can have the host and prefix of a queue. */
function checkMatching(
  {host, pathPrefix}: Partial<WorkQueue>,
  i: number,
  byKey: ReadonlyMap<string, Partial<WorkQueue>>,
): ConfigurationFinding[] {
  if (host === undefined || pathPrefix === undefined) {
    return [];
  }
  const isHostMatched = HOST_PATTERN.test(host) && !PORT_PATTERN.test(host);
  const requestedHost = host.replace(PORT_PATTERN, '');
  const requested = requestedPrefix(pathPrefix);
  if (isHostMatched && requested === pathPrefix) {
    return [];
  }
  const key = keyOf(requestedHost, requested ?? '');
  const rival = key === keyOf(host, pathPrefix) ? undefined : byKey.get(key);
  const field = isHostMatched ? 'pathPrefix' : 'host';
  const cause = isHostMatched
    ? 'URL parsing changes paths that begin with this prefix'
    : 'hosts are compared literally and without a port';
  const hidden = rival ? `, hidden by ${describe(rival)}` : '';
  return [
    warning(['queues', i, field], `matches no request${hidden}: ${cause}`),
  ];
}

function checkQueue(
  queue: Partial<WorkQueue>,
  i: number,
): ConfigurationFinding[] {
  const {timeoutMs = Infinity, slackMs = 0, stretch, maxAttempts = 1} = queue;
  const findings: ConfigurationFinding[] = [];
  if (slackMs > timeoutMs) {
    const message = `objective of ${slackMs} ms or more, above the timeout of ${timeoutMs} ms`;
    findings.push(warning(['queues', i, 'slackMs'], message));
  }
  if (stretch !== undefined && stretch < 1) {
    const message = `${stretch} is below 1: the objective is shorter than the expected duration`;
    findings.push(warning(['queues', i, 'stretch'], message));
  }
  if (maxAttempts * MIN_ATTEMPT_MS > timeoutMs) {
    const message = `${maxAttempts} attempts of at least ${MIN_ATTEMPT_MS} ms don't fit into the timeout of ${timeoutMs} ms`;
    findings.push(warning(['queues', i, 'maxAttempts'], message));
  }
  return findings;
}

function checkLimits(
  limits: CheckedConfiguration['limits'],
  bounds: ProcessLimits,
): ConfigurationFinding[] {
  const findings: ConfigurationFinding[] = [];
  for (const name of Object.keys(bounds) as Array<keyof ProcessLimits>) {
    const value = limits[name];
    const path = ['limits', name];
    if (value === undefined && Object.hasOwn(limits, name)) {
      findings.push(warning(path, 'not a positive number'));
    } else if (value !== undefined && value > bounds[name]) {
      const message = `${value} is above the ${bounds[name]} of the process, which applies`;
      findings.push(warning(path, message));
    }
  }
  const {headersTimeoutMs, keepAliveTimeoutMs = Infinity} = limits;
  if (headersTimeoutMs !== undefined && headersTimeoutMs > keepAliveTimeoutMs) {
    const message = `${headersTimeoutMs} ms is above the idle timeout of ${keepAliveTimeoutMs} ms`;
    findings.push(warning(['limits', 'headersTimeoutMs'], message));
  }
  return findings;
}

function describe({kind}: Partial<WorkQueue>): string {
  return kind ?? 'another entry';
}

function keyOf(host: string, pathPrefix: string): string {
  return `${host.toLowerCase()} ${pathPrefix}`;
}

/**
 * Returns the prefix as the URL of a request has it after parsing; undefined if the
 * parsed path of a job doesn't end in the job's id.
 */
function requestedPrefix(pathPrefix: string): string | undefined {
  try {
    const {pathname} = new URL(`${pathPrefix}${JOB_ID}`, BASE_URL);
    return pathname.endsWith(JOB_ID)
      ? pathname.slice(0, -JOB_ID.length)
      : undefined;
  } catch {
    return undefined;
  }
}

function error(
  path: ConfigurationFinding['path'],
  message: string,
): ConfigurationFinding {
  return {severity: 'error', path, message};
}

function warning(
  path: ConfigurationFinding['path'],
  message: string,
): ConfigurationFinding {
  return {severity: 'warning', path, message};
}
