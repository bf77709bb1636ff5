import type {DataCentreId} from '@papayarun/protocol';

/**
 * State instance that keeps the jobs in flight of entry instances.
 */
export interface InFlightKeeper {
  readonly dataCentre: DataCentreId;
  /** Interval at which it takes notices of an entry, in milliseconds. */
  readonly intervalMs: number;
}
