import type {AcceptedConfiguration} from '../configuration/accepted_configuration.js';
import type {SchedulerGrant} from '../scheduler_grant/scheduler_grant.js';
import type {ClaimView} from '../claim_view/claim_view.js';
import type {NoteVerdict} from '../note/note_verdict.js';
import type {AcceptedNote} from './accepted_note.js';
import type {ReleaseEntry} from './release_entry.js';

/**
 * All that the replicated log decides; equal at equal indices everywhere.
 */
export interface ControlState {
  readonly release: number;
  readonly entries: Readonly<Record<string, ReleaseEntry>>;
  /** Release that withdrew a name which is not in force now. */
  readonly tombstones: Readonly<Record<string, number>>;
  /** Verdicts by note id, the oldest first. */
  readonly verdicts: ReadonlyArray<{
    readonly noteId: string;
    readonly fingerprint: string;
    readonly verdict: NoteVerdict;
  }>;
  /** Latest accepted notes, the oldest first. */
  readonly history: readonly AcceptedNote[];
  readonly views: Readonly<Record<string, ClaimView>>;
  /** Choices by customer, then by behaviour name. */
  readonly customers: Readonly<
    Record<string, Readonly<Record<string, ReleaseEntry>>>
  >;
  /** Whole configuration in force, where the operator sends whole ones. */
  readonly configuration?: AcceptedConfiguration;
  /** Grants by data centre. */
  readonly schedulers: Readonly<Record<string, SchedulerGrant>>;
  /** Highest fencing token that was ever granted. */
  readonly lastToken: number;
}
