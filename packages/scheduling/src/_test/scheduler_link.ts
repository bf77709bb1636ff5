import type {TargetId} from '@papayarun/protocol';

/**
 * Link of a scheduler to all its targets.
 */
export interface SchedulerLink {
  /**
   * Whether the process of the scheduler has ended: it sends no further order
   * and gets no answer. Orders that are on their way still arrive.
   */
  isDown: boolean;
  /** Whether no answer reaches it. */
  isDeaf: boolean;
  /** Targets that no order of it reaches. */
  readonly unreachable: Set<TargetId>;
}
