import type {DataCentreId} from '@papayarun/protocol';
import type {SchedulerGrant} from '@papayarun/releases';

/**
 * The scheduler of a data centre and the grant that it holds.
 */
export interface DataCentreScheduler {
  readonly dataCentre: DataCentreId;
  readonly grant: SchedulerGrant;
}
