import type {JobQuote, JobRefusal} from '@papayarun/protocol';

/**
 * Whether a job is taken.
 */
export type Admission =
  | {readonly kind: 'admitted'; readonly quote: JobQuote}
  | {
      readonly kind: 'refused';
      readonly reason: JobRefusal;
      /** When there should be room again, in milliseconds. */
      readonly retryAfterMs: number;
      /** When its tasks would end, and by when they would have to. */
      readonly quote: JobQuote;
    };
