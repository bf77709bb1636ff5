import type {ViewMember} from '@papayarun/releases';

/**
 * Live instance that can become a member of the claim view.
 */
export interface CandidateMember extends ViewMember {
  /**
   * Whether the instance is shutting down. A draining instance is not added to
   * the view, and a draining member leaves the view by itself.
   */
  readonly isDraining: boolean;
}
