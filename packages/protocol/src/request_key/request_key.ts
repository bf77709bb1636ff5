import type {DataCentreId} from '../ids/data_centre_id.js';

/**
 * Parts of an idempotency key.
 */
export interface RequestKey {
  /** Home data centre, the only one that may start the request or job. */
  readonly home: DataCentreId;
  /** Claim generation of the home data centre when the key was created. */
  readonly generation: number;
  /** Wall-clock time of creation, in seconds since the Unix epoch. */
  readonly madeAtSeconds: number;
  /** Part chosen by the caller. */
  readonly opaque: string;
}
