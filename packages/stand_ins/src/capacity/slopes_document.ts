import type {MembershipSlopes} from '../slopes/membership_slopes.js';
import type {WorkSlopes} from '../slopes/work_slopes.js';

/**
 * Measured slopes as `npm run slopes` writes them.
 */
export interface SlopesDocument {
  readonly node: string;
  readonly membership: MembershipSlopes;
  readonly work: WorkSlopes;
}
