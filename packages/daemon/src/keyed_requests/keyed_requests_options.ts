import type {Claims} from '@papayarun/claims';
import type {Router} from '@papayarun/dispatch';
import type {DataCentreId, InstanceId} from '@papayarun/protocol';

/**
 * What keyed requests need.
 */
export interface KeyedRequestsOptions {
  readonly dataCentre: DataCentreId;
  readonly claims: Claims;
  readonly router: Router;
  /** Whether the settings name a data centre. */
  readonly isDataCentre: (dataCentre: DataCentreId) => boolean;
  /** A live instance of another data centre. */
  readonly instanceIn: (dataCentre: DataCentreId) => InstanceId | undefined;
  /** Aborts when this instance ends. */
  readonly ending: AbortSignal;
}
