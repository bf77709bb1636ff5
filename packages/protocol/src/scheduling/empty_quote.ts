import type {JobQuote} from './job_quote.js';

/** Quote of a scheduler that can't run any task of a job. */
export const EMPTY_QUOTE: JobQuote = {endsMs: [], limitMs: 0, latestMs: 0};
