import type {DataCentreId} from '../ids/data_centre_id.js';
import type {ServiceId} from '../ids/service_id.js';
import type {TargetId} from '../ids/target_id.js';
import type {Resources} from '../work/resources.js';

/**
 * Latest status report of a target that runs tasks.
 */
export interface TargetReport {
  readonly targetId: TargetId;
  /** Start time of the incarnation; reports of earlier ones are obsolete. */
  readonly bornMs: number;
  /** Sequence number, increased with each report of an incarnation. */
  readonly sequence: number;
  readonly state: 'ready' | 'draining' | 'gone';
  readonly service: ServiceId;
  readonly dataCentre: DataCentreId;
  readonly host: string;
  readonly port: number;
  readonly capacity: Resources;
  /** Kind and rack of the target, for the required labels of steps. */
  readonly labels: readonly string[];
}
