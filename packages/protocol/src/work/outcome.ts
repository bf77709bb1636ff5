import type {Refusal} from '../refusal/refusal.js';
import type {Answer} from './answer.js';

/**
 * Outcome of a piece of work.
 */
export type Outcome =
  | {readonly kind: 'answered'; readonly answer: Answer}
  | {readonly kind: 'refused'; readonly refusal: Refusal};
