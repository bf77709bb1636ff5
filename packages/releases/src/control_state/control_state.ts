import type {AcceptedConfiguration} from '../configuration/accepted_configuration.js';
import type {SchedulerGrant} from '../scheduler_grant/scheduler_grant.js';
import type {ClaimView} from '../claim_view/claim_view.js';
import type {NoteVerdict} from '../note/note_verdict.js';
import type {AcceptedNote} from './accepted_note.js';
import type {ReleaseEntry} from './release_entry.js';

/**
 * State that results from the commands of the replicated log. It is equal on
 * all instances at the same index.
 */
export interface ControlState {
  /** Number of the latest release. */
  readonly release: number;
  /** Entries in force by name. */
  readonly entries: Readonly<Record<string, ReleaseEntry>>;
  /** Release that withdrew a name, for names that are not in force. */
  readonly tombstones: Readonly<Record<string, number>>;
  /** Latest verdicts on release notes, the oldest first. */
  readonly verdicts: ReadonlyArray<{
    readonly noteId: string;
    readonly fingerprint: string;
    readonly verdict: NoteVerdict;
  }>;
  /** Latest accepted notes, the oldest first. */
  readonly history: readonly AcceptedNote[];
  /** Claim views by data centre. */
  readonly views: Readonly<Record<string, ClaimView>>;
  /** Choices by customer, then by behaviour name. */
  readonly customers: Readonly<
    Record<string, Readonly<Record<string, ReleaseEntry>>>
  >;
  /** Whole configuration in force, if operators send whole configurations. */
  readonly configuration?: AcceptedConfiguration;
  /** Scheduler grants in force by data centre. */
  readonly schedulers: Readonly<Record<string, SchedulerGrant>>;
  /** Highest fencing token that was ever granted. */
  readonly lastToken: number;
}
