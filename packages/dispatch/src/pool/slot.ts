import type {TargetRecord} from '../target_registry/target_record.js';

/**
 * Permit to send one piece of work to a target.
 */
export interface Slot {
  readonly record: TargetRecord;
  /** Returns the slot to the pool; further calls have no effect. */
  release(): void;
}
