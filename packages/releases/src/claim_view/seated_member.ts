import type {ViewMember} from './view_member.js';

/**
 * A member with the epoch it joined at.
 */
export interface SeatedMember extends ViewMember {
  /** An incarnation that was removed and joins again has a later one. */
  readonly since: number;
}
