import type {ServiceId} from '../ids/service_id.js';
import type {TargetId} from '../ids/target_id.js';
import type {Resources} from '../work/resources.js';

/**
 * Status that a target or worker announces about once a second.
 */
export interface Announcement {
  readonly targetId: TargetId;
  /** Id of the target's process; it changes with each restart. */
  readonly boot: string;
  /** Increases with each announcement of a boot, to detect reordered ones. */
  readonly seq: number;
  readonly state: 'ready' | 'leaving';
  readonly service: ServiceId;
  /** Base URL, `http://host:port`. */
  readonly url: string;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Maximum number of connections from all instances together. */
  readonly connections: number;
  /** Rack and resources of a worker; absent for other targets. */
  readonly worker?: {
    readonly rack: string;
    readonly total: Resources;
    /** Usage last measured by the platform; lags behind placements. */
    readonly used: Resources;
  };
}
