import type {DataCentreId} from '../ids/data_centre_id.js';

/**
 * Parts of an idempotency key.
 */
export interface RequestKey {
  /** The only data centre that may start it. */
  readonly home: DataCentreId;
  /** Claim generation of that data centre the key was made in. */
  readonly generation: number;
  /** Wall time it was made at, in seconds since the Unix epoch. */
  readonly madeAtSeconds: number;
  readonly opaque: string;
}
