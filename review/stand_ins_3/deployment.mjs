/* global console, process */
// A small deployment for one case: three zones, six entry and three state
// instances, runners of one service, one route.
import {System, sleep} from './system.mjs';
import {Runner} from './runner.mjs';

export const HOST = 'jobs.example';
export const SERVICE = 'desk';
export const ZONES = ['north', 'south', 'west'];
export const LIMITS = {
  maxHeaderBytes: 16384,
  maxBodyBytes: 262144,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15000,
};

export function configuration(
  version,
  routes,
  {services = [SERVICE], admissionControl = true} = {},
) {
  return {
    version,
    routes: routes.map(route => ({
      host: HOST,
      service: SERVICE,
      routeType: 'non_idempotent',
      timeoutMs: 1500,
      targetLatencyMs: 60,
      stretch: 1.6,
      priority: 0,
      maxAttempts: 4,
      ...route,
    })),
    services: services.map(name => ({
      name,
      healthPath: '/health',
      maxConns: 64,
      protocol: 'h1',
      tls: false,
      admissionControl,
      standby: false,
    })),
    limits: LIMITS,
  };
}

export function runnerIn(sys, judge, n, opts = {}) {
  const runner = new Runner({
    host: `127.${sys.net}.${100 + n}.1`,
    port: 0,
    id: `i-${n}`,
    service: SERVICE,
    zone: sys.zones[n % sys.zones.length],
    capacity: {cpu: 32000, memMb: 131072, gpu: 0},
    labels: ['a', `r${n % 3}`],
    controls: () =>
      sys
        .states()
        .filter(m => m.isUp)
        .map(m => m.control),
    onEvent: (type, data) => judge.onRunnerEvent(runner, type, data),
    needsOf: task => judge.stepOf(task) ?? {},
    workMs: task => judge.jobOf(task)?.workMs ?? 50,
    ...opts,
  });
  return runner;
}

/** Starts everything; exits with 2 if the deployment doesn't come up. */
export async function startDeployment(
  judge,
  routes,
  {runners = 9, zones = ZONES, runnerOpts, system = {}} = {},
) {
  const sys = new System({
    zones,
    entriesPerZone: 2,
    log: (type, data) => judge.log(type, data),
    ...system,
  });
  routes.forEach(r =>
    judge.routes.set(r.name, new Set([r.service ?? SERVICE])),
  );
  await sys.start();
  const isConfigured = await sys.putConfig(configuration(3, routes));
  const all = [];
  for (let n = 0; n < runners; n++) {
    const runner = runnerIn(
      sys,
      judge,
      n,
      typeof runnerOpts === 'function' ? runnerOpts(n) : runnerOpts,
    );
    await runner.start();
    all.push(runner);
  }
  if (!isConfigured || !(await sys.waitReady())) {
    judge.log('cannotRun', {isConfigured});
    await sys.stop();
    process.exit(2);
  }
  await sleep(3000);
  return {sys, runners: all};
}

/** Writes the result and ends with 0 if the rule held, 1 if it was broken. */
export async function finishCase(judge, sys) {
  judge.finish();
  judge.log('result', {
    broken: judge.broken.length,
    rules: [...new Set(judge.broken.map(b => b.rule))],
  });
  await sys.stop();
  console.log(
    judge.broken.length > 0 ? 'broken' : 'held',
    JSON.stringify(judge.broken.slice(0, 5)),
  );
  process.exit(judge.broken.length > 0 ? 1 : 0);
}
