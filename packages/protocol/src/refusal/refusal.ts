import type {Verdict} from '../verdict/verdict.js';
import type {RefusalCode} from './refusal_code.js';

/**
 * A refusal or failure as sent between instances and to callers.
 */
export interface Refusal {
  readonly verdict: Verdict;
  readonly code: RefusalCode;
  readonly message: string;
  /** Name of the invalid setting, header or body field, if any. */
  readonly field?: string;
}
