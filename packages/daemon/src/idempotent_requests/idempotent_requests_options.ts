import type {Claims} from '@papayarun/claims';
import type {Router} from '@papayarun/dispatch';
import type {DataCentreId, InstanceId} from '@papayarun/protocol';

/**
 * Options of `IdempotentRequests`.
 */
export interface IdempotentRequestsOptions {
  readonly dataCentre: DataCentreId;
  readonly claims: Claims;
  readonly router: Router;
  /** Whether a data centre is listed in the settings. */
  readonly isKnownDataCentre: (dataCentre: DataCentreId) => boolean;
  /** A live instance of another data centre. */
  readonly pickReadyInstance: (
    dataCentre: DataCentreId,
  ) => InstanceId | undefined;
  /** Aborts when this instance stops. */
  readonly stopSignal: AbortSignal;
}
