import type {ServiceId} from '../ids/service_id.js';
import type {TargetId} from '../ids/target_id.js';
import type {Resources} from '../work/resources.js';

/**
 * What a target or worker tells of itself, about once a second.
 */
export interface Announcement {
  readonly targetId: TargetId;
  /** Identity of the target's process; a restart has another one. */
  readonly boot: string;
  /** Rises with each announcement of one boot, so that a late one is seen. */
  readonly seq: number;
  readonly state: 'ready' | 'leaving';
  readonly service: ServiceId;
  /** Base address, `http://host:port`. */
  readonly url: string;
  /** Requests it runs at the same time. */
  readonly slots: number;
  /** Connections it accepts from all instances together. */
  readonly connections: number;
  /** Present for a worker. */
  readonly worker?: {
    readonly rack: string;
    readonly total: Resources;
    /** Usage as the platform last measured it; lags behind placements. */
    readonly used: Resources;
  };
}
