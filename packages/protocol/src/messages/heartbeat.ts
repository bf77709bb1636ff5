import type {BootId} from '../ids/boot_id.js';
import type {DataCentreId} from '../ids/data_centre_id.js';
import type {InstanceDigest} from '../digest/instance_digest.js';
import type {InstanceRole} from './instance_role.js';

/**
 * Periodic message that shows that an instance is alive.
 */
export interface Heartbeat {
  readonly boot: BootId;
  readonly dataCentre: DataCentreId;
  readonly role: InstanceRole;
  readonly state: 'starting' | 'ready' | 'draining';
  /** Index of the last applied command of the replicated log. */
  readonly stateIndex: number;
  /** Milliseconds since that state was last known to be the latest. */
  readonly currentAgeMs: number;
  readonly digest: InstanceDigest;
  /**
   * Time until the next heartbeat to the same peer, in milliseconds. Absent in
   * versions that send all heartbeats at the same interval.
   */
  readonly intervalMs?: number;
  /** Whether the instance leads the replicated log; absent if not. */
  readonly leads?: boolean;
  /**
   * Number of targets that the instance can schedule, 0 on state instances.
   * Absent in versions that schedule whole data centres instead of shards.
   */
  readonly maxTargets?: number;
  /**
   * Shortest interval at which the instance takes notices of jobs in flight from
   * each entry instance, in milliseconds. Absent on entry instances, and in
   * versions of state instances that keep no jobs in flight.
   */
  readonly inFlightIntervalMs?: number;
  /**
   * Whether the instance registers jobs. Absent on entry instances, and in
   * versions of state instances that don't.
   */
  readonly registersJobs?: boolean;
  /**
   * Whether the instance applies the log commands that evacuate data centres.
   * Absent in versions that don't, and where evacuations are not enabled.
   */
  readonly appliesEvacuations?: boolean;
}
