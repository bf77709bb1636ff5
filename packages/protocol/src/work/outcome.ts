import type {Refusal} from '../refusal/refusal.js';
import type {Answer} from './answer.js';

/**
 * How a piece of work ended.
 */
export type Outcome =
  | {readonly kind: 'answered'; readonly answer: Answer}
  | {readonly kind: 'refused'; readonly refusal: Refusal};
