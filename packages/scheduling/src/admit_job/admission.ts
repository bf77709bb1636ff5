import type {JobQuote, JobRefusal} from '@papayarun/protocol';

/**
 * Decision whether to admit a job.
 */
export type Admission =
  | {readonly kind: 'admitted'; readonly quote: JobQuote}
  | {
      readonly kind: 'refused';
      readonly reason: JobRefusal;
      /** Time after which there should be capacity again, in milliseconds. */
      readonly retryAfterMs: number;
      /** When its tasks would end, and by when they would have to end. */
      readonly quote: JobQuote;
    };
