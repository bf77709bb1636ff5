import type {Brand} from '../brand/brand.js';

/**
 * Idempotency key of a release note, chosen by the operator.
 */
export type NoteId = Brand<string, 'NoteId'>;
