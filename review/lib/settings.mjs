// Settings of a small deployment, with the bounds of the site cmesb-falhas.

export const HEARTBEAT_MS = 1_500;
export const MAX_LEASE_MS = 1_000;
export const STOP_MS = 50;
export const RESEND_MS = 1_300;
export const GRACE_S = 6;

const PEER_PORT = 7_720;
const CALLER_PORT = 8_161;
const CONTROL_PORT = 8_166;
const READY_PORT = 8_167;

export const callersOf = host => `${host}:${CALLER_PORT}`;
export const controlOf = host => `${host}:${CONTROL_PORT}`;
export const readinessOf = host => `${host}:${READY_PORT}`;

/** The settings file of an instance, with the keys of the template of the deploy file. */
export function settingsOf({role, name, zone, host, seeds, dataDir, cores}) {
  const common = {
    instance: name,
    dataCentre: zone,
    host,
    peerPort: PEER_PORT,
    seeds,
    isFirstStart: true,
    cores,
    shutdownS: GRACE_S,
    targetLeaseMs: MAX_LEASE_MS,
    targetStopMs: STOP_MS,
    targetReportMs: HEARTBEAT_MS,
  };
  return role === 'state'
    ? {...common, dataDir, control: controlOf(host)}
    : {...common, callers: callersOf(host), readiness: readinessOf(host)};
}
