import type {DataCentreId} from '../ids/data_centre_id.js';
import type {TargetReport} from '../scheduling/target_report.js';

/**
 * Requests the latest reports of a data centre's targets from a state instance.
 */
export interface ListTargetsCall {
  readonly req: {readonly dataCentre: DataCentreId};
  readonly res: {readonly reports: readonly TargetReport[]};
}
