import type {ViewMember} from './view_member.js';

/**
 * Member of a claim view with the epoch at which it joined.
 */
export interface JoinedMember extends ViewMember {
  /**
   * Epoch at which the member joined. An incarnation that was removed and joins
   * again has a later one.
   */
  readonly since: number;
}
