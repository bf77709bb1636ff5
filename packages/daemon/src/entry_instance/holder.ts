import type {DataCentreId} from '@papayarun/protocol';
import type {SchedulerGrant} from '@papayarun/releases';

/**
 * Who schedules a data centre's targets.
 */
export interface Holder {
  readonly dataCentre: DataCentreId;
  readonly grant: SchedulerGrant;
}
