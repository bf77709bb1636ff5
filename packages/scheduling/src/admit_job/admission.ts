import type {JobRefusal} from '@papayarun/protocol';

/**
 * Whether a job is taken.
 */
export type Admission =
  | {readonly kind: 'admitted'}
  | {
      readonly kind: 'refused';
      readonly reason: JobRefusal;
      /** When there should be room again, in milliseconds. */
      readonly retryAfterMs: number;
      /** Tasks of it that could be done in time. */
      readonly offer: number;
    };
