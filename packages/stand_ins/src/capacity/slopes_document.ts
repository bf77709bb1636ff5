import type {MembershipSlopes} from '../slopes/membership_slopes.js';
import type {WorkSlopes} from '../slopes/work_slopes.js';

/**
 * Measured slopes in the format that `npm run slopes` writes.
 */
export interface SlopesDocument {
  /** Version of Node.js that the slopes were measured with. */
  readonly node: string;
  readonly membership: MembershipSlopes;
  readonly work: WorkSlopes;
}
