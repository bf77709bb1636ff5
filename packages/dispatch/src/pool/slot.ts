import type {TargetRecord} from '../target_registry/target_record.js';

/**
 * Right to send one piece of work to a target.
 */
export interface Slot {
  readonly record: TargetRecord;
  /** Gives the slot back; further calls do nothing. */
  release(): void;
}
