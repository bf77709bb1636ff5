import type {ViewMember} from '@papayarun/releases';

/**
 * A live instance as a possible member.
 */
export interface LiveMember extends ViewMember {
  /** Whether it is about to end; then it is not added, and leaves by itself. */
  readonly isDraining: boolean;
}
