import type {RunRecord} from './run_record.js';
import type {TargetSession} from './target_session.js';

/**
 * Run with the session that orders it.
 */
export interface OrderedRun extends RunRecord {
  readonly session: TargetSession;
}
