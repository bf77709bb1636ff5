import type {Verdict} from '../verdict/verdict.js';
import type {RefusalCode} from './refusal_code.js';

/**
 * A refusal or failure as it travels between instances and to callers.
 */
export interface Refusal {
  readonly verdict: Verdict;
  readonly code: RefusalCode;
  readonly message: string;
  /** Setting, header or body field at fault, if one is. */
  readonly field?: string;
}
