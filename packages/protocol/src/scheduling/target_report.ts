import type {DataCentreId} from '../ids/data_centre_id.js';
import type {ServiceId} from '../ids/service_id.js';
import type {TargetId} from '../ids/target_id.js';
import type {Resources} from '../work/resources.js';

/**
 * What a target that runs tasks last said of itself.
 */
export interface TargetReport {
  readonly targetId: TargetId;
  /** Start of this incarnation; a higher one replaces all that came before. */
  readonly bornMs: number;
  /** Rises with each report of an incarnation. */
  readonly sequence: number;
  readonly state: 'ready' | 'draining' | 'gone';
  readonly service: ServiceId;
  readonly dataCentre: DataCentreId;
  readonly host: string;
  readonly port: number;
  readonly capacity: Resources;
  /** Kind of the target and its rack, as steps may require them. */
  readonly labels: readonly string[];
}
